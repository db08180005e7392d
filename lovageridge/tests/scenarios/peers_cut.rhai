// Two failure domains cannot reach each other, but both reach the platform. Each side serves cold models
// and loads each of them at most once, an edit is in force on both sides within 5 s, and there are no more
// loads than decisions.
start_venture(#{ fencing: FENCING, entries: 6, domains: 2, workers: 4, models: 8 });
let warm = burst(#{ callers: 6, model: "model-00", tokens: 3 });
check(warm.whole == 6, "warm");
let cells = ["lm-pool/sohar-a/0", "lm-pool/sohar-b/0"];
let before = [epoch(cells[0]), epoch(cells[1])];
cut("sohar-a", false, true);
sleep_ms(3000);
for m in 1..5 {
    let a = start_burst(#{ callers: 4, domain: "sohar-a", model: `model-0${m}`, tokens: 3, deadline_ms: 8000 });
    let b = start_burst(#{ callers: 4, domain: "sohar-b", model: `model-0${m}`, tokens: 3, deadline_ms: 8000 });
    let a = a.join();
    let b = b.join();
    check(a.whole == 4 && b.whole == 4, `model-0${m} is served on both sides: ${a} ${b}`);
    for domain in ["sohar-a", "sohar-b"] {
        check(loads_in(`model-0${m}`, domain) <= 1, `model-0${m} is loaded at most once in ${domain}`);
    }
}
let accepted = edit(1, #{ team: "boards", section: "model.boards-weekly", body: "service = lm-pool\nsize_mb = 900\nload_ms = 90\n", edit_id: "cut" });
check(accepted.status == 200, `an edit is accepted: ${accepted}`);
let ms = wait_config(accepted.version, 5000);
figure("edit_in_force_ms", ms);
check(ms >= 0, "the edit is in force on both sides within 5 s");
heal();
sleep_ms(2500);
let after = burst(#{ callers: 12, model: "model-06", tokens: 3 });
check(after.whole == 12, `served after healing: ${after.whole}, ${after.codes}`);
check(loads("model-06") == 1, "the model is loaded once");
figure("epochs", `${before} before, ${[epoch(cells[0]), epoch(cells[1])]} after`);
for m in 0..7 {
    let name = `model-0${m}`;
    check(loads(name) <= decisions(name), `${name}: loads ${loads(name)}, decisions ${decisions(name)}`);
}
check(memory_held(), "accelerator memory is not overcommitted");
