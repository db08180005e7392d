// The lead of a cell is killed ten times. The next decision follows within 3 s each time.
start_venture(#{ fencing: FENCING, domains: 1, entries: 4, workers: 4, models: 12 });
let cell = "lm-pool/sohar-a/0";
let warm = burst(#{ callers: 4, model: "model-00", tokens: 3 });
check(warm.whole == 4, "warm");
let times = [];
for turn in 1..11 {
    let model = if turn < 10 { `model-0${turn}` } else { `model-${turn}` };
    let old = wait_lead(cell, -1, 10000);
    sleep_ms(800);
    let killed_ms = now_ms();
    kill_entry(old);
    let calls = start_burst(#{ callers: 2, entry: (old + 1) % 4, model: model, tokens: 3, deadline_ms: 9000 });
    while decisions(model) == 0 && now_ms() - killed_ms < 9000 { sleep_ms(10); }
    times.push(now_ms() - killed_ms);
    let got = calls.join();
    check(got.whole == 2, `kill ${turn}: the callers are served: ${got}`);
    check(loads(model) == 1, `kill ${turn}: the model is loaded once`);
    start_entry(old);
    check(wait_ready(old, 10000), `kill ${turn}: the entry is ready again`);
    sleep_ms(1500);
}
times.sort();
figure("death_to_decision_ms", `${times}`);
check(times[9] <= 3000, `the slowest of ten decisions follows within 3 s: ${times}`);
check(memory_held(), "accelerator memory is not overcommitted");
