// Pairs of simultaneous faults, one after the other, while a cold model is requested and slots are booked.
// Every caller has an outcome, no booking runs twice, there are no more loads than decisions, and another
// cold model is served after the faults have ended.
start_venture(#{ fencing: FENCING, domains: 1, entries: 4, workers: 4, models: 14, store_mb_per_s: 8000 });
let cell = "lm-pool/sohar-a/0";
let warm = burst(#{ callers: 4, model: "model-12", tokens: 3 });
check(warm.whole == 4, "warm");

fn pass_all() {
    log_faults(#{});
    store_slow_pct(100);
    for w in 0..4 {
        worker_faults(w, #{});
        worker_relay(w, "pass");
    }
}

let pairs = [
    "the log loses answers, the lead is killed",
    "the log is down, the lead is paused",
    "the store is slow, the lead is killed",
    "workers lose the answers to orders, the lead is paused",
    "the log is slow, the lead is killed",
    "an engine restarts, the log loses answers",
];
for at in 0..6 {
    let old = lead(cell);
    let stay = (old + 1) % 4;
    let cold = `model-0${at}`;
    let calls = start_burst(#{ callers: 6, entry: stay, model: cold, tokens: 3, deadline_ms: 12000 });
    let booked = start_bookings(#{ callers: 8, each: 10, entry: stay, deadline_ms: 4000, salt: `p${at}-` });
    let name = pairs[at];
    if at == 0 { log_faults(#{ lose_answers: 2 }); }
    if at == 1 { log_faults(#{ refuse: true }); }
    if at == 2 { store_slow_pct(400); }
    if at == 3 { for w in 0..4 { worker_faults(w, #{ lose_order_answers: 1 }); } }
    if at == 4 { log_faults(#{ delay_ms: 2000 }); }
    if at == 5 { log_faults(#{ lose_answers: 2 }); }
    sleep_ms(300);
    if at == 0 || at == 2 || at == 4 { kill_entry(old); }
    if at == 1 || at == 3 { pause_entry(old); }
    if at == 5 { restart_worker(2); }
    sleep_ms(2500);
    if at == 1 || at == 3 { resume_entry(old); }
    sleep_ms(300);
    pass_all();
    if at == 0 || at == 2 || at == 4 {
        start_entry(old);
        check(wait_ready(old, 10000), `${name}: the entry is ready again`);
    }
    let got = calls.join();
    check(got.answered == 6, `${name}: each caller has an outcome: ${got}`);
    let results = booked.join_bookings();
    check(results.answered == results.calls, `${name}: each booking has an outcome: ${results}`);
    check(results.twice == 0 && results.lies == 0 && results.lost == 0, `${name}: reported booking outcomes are correct: ${results}`);
    wait_lead(cell, -1, 10000);
    let after = burst(#{ callers: 6, model: if at + 6 < 10 { `model-0${at + 6}` } else { `model-${at + 6}` }, tokens: 3, deadline_ms: 12000 });
    check(after.whole == 6, `${name}: a cold model is served after the faults: ${after}`);
    figure(name, `whole ${got.whole} of 6, booked ${results.booked} of ${results.slots}`);
}
sleep_ms(2000);
for at in 0..14 {
    let name = if at < 10 { `model-0${at}` } else { `model-${at}` };
    check(loads(name) <= decisions(name), `${name}: loads ${loads(name)}, decisions ${decisions(name)}`);
}
check(memory_held(), "accelerator memory is not overcommitted");
