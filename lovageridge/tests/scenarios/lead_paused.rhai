// The lead is paused for longer than its lease, a new lead takes over and decides, then the old lead is
// resumed. Its state is stale: it must not add a replica or overcommit memory.
start_venture(#{ fencing: FENCING, domains: 1, entries: 4, workers: 2, accelerators: 1, models: 6 });
let cell = "lm-pool/sohar-a/0";
let old = lead(cell);
let others = [0, 1, 2, 3].filter(|e| e != old);

let warm = burst(#{ callers: 4, entry: others[0], model: "model-00", tokens: 3 });
check(warm.whole == 4, "the first model is served");
// The request for this model reaches the old lead just before it is paused.
let stale = start_burst(#{ callers: 4, entry: others[0], model: "model-01", tokens: 3 });
pause_entry(old);
let successor = wait_lead(cell, old, 10000);
let during = burst(#{ callers: 6, entry: others[1], model: "model-02", tokens: 3 });
check(during.whole == 6, `requests are served under the new lead: ${during.whole}, ${during.codes}`);
resume_entry(old);
let after = burst(#{ callers: 6, entry: others[2], model: "model-03", tokens: 3 });
check(after.whole == 6, `requests are served after the old lead is resumed: ${after.whole}, ${after.codes}`);
let got = stale.join();
check(got.answered == 4, "callers from just before the pause have an outcome");
sleep_ms(1500);
for m in ["model-00", "model-01", "model-02", "model-03"] {
    check(loads(m) <= decisions(m), `${m}: loads ${loads(m)} do not exceed decisions ${decisions(m)}`);
}
check(memory_held(), "accelerator memory is not overcommitted");
