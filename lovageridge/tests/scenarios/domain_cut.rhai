// A failure domain is disconnected from the platform and from its peers. It continues to serve warm models,
// and also loads cold ones if engines check fencing. After the network has healed, an edit accepted in the
// meantime is in force everywhere within 5 s, and no memory was overcommitted.
start_venture(#{ fencing: FENCING, entries: 6, domains: 3, workers: 6, models: 6 });
for m in 0..4 {
    let warm = burst(#{ callers: 6, model: `model-0${m}`, tokens: 3 });
    check(warm.whole == 6, "warm");
}
cut("sohar-a", true, true);
sleep_ms(4000);
let inside = burst(#{ callers: 6, domain: "sohar-a", model: "model-00", tokens: 3, salt: "in", deadline_ms: 5000 });
check(inside.answered == 6, `the disconnected domain responds: ${inside.codes}`);
check(inside.whole == 6, `the disconnected domain serves a warm model: ${inside.whole}, ${inside.codes}`);
let cold = burst(#{ callers: 6, domain: "sohar-a", model: "model-05", tokens: 3, deadline_ms: 6000 });
check(cold.answered == 6, `callers of a cold model have an outcome: ${cold.codes}`);
if FENCING {
    check(cold.whole == 6, `the disconnected domain loads the model itself: ${cold.whole}, ${cold.codes}`);
    check(loads_in("model-05", "sohar-a") == 1, "the model is loaded once in the domain");
} else {
    check(cold.not_run == 6 && loads_in("model-05", "sohar-a") == 0, "no load is ordered without a proof of leadership");
}
let outside = burst(#{ callers: 6, domain: "sohar-b", model: "model-04", tokens: 3 });
check(outside.whole == 6, `the other domains continue to serve: ${outside.whole}, ${outside.codes}`);
let section = "model.boards-weekly";
let accepted = edit(1, #{ team: "boards", section: section, body: "service = lm-pool\nsize_mb = 900\nload_ms = 90\n", edit_id: "cut" });
check(accepted.status == 200, `an edit is accepted in another domain: ${accepted}`);
heal();
let ms = wait_config(accepted.version, 5000);
figure("healed_in_force_ms", ms);
check(ms >= 0, "the edit is in force on all instances within 5 s of healing");
let after = burst(#{ callers: 12, model: "model-05", tokens: 3, salt: "after" });
check(after.whole == 12, `served after healing: ${after.whole}, ${after.codes}`);
// Decisions made while disconnected are appended once the log can be reached again.
sleep_ms(1500);
for m in 0..6 {
    let name = `model-0${m}`;
    check(loads(name) <= decisions(name), `${name}: loads ${loads(name)}, decisions ${decisions(name)}`);
}
check(memory_held(), "accelerator memory is not overcommitted");
