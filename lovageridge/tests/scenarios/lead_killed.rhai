// The lead of a cell is killed during a load that it ordered. A new lead takes over within 3 s, detects
// the load and orders no second one; callers at the other entries are served.
start_venture(#{ fencing: FENCING, store_mb_per_s: 4000, domains: 1, entries: 4, workers: 4 });
let cell = "lm-pool/sohar-a/0";
let old = lead(cell);
let first_epoch = epoch(cell);

let others = [0, 1, 2, 3].filter(|e| e != old);
let calls = start_burst(#{ callers: 8, entry: others[0], model: "model-00", tokens: 5 });
sleep_ms(700);
check(loads("model-00") == 1, "the load has started before the kill");
let killed_ms = now_ms();
kill_entry(old);
let successor = wait_lead(cell, old, 10000);
check(epoch(cell) > first_epoch, "the epoch has increased");

// A request for another cold model measures the time from the kill to the next decision.
let next = start_burst(#{ callers: 4, entry: others[1], model: "model-01", tokens: 3 });
while decisions("model-01") == 0 && now_ms() - killed_ms < 12000 { sleep_ms(10); }
let took = now_ms() - killed_ms;
figure("death_to_decision_ms", took);
check(took <= 3000, `the next decision follows within 3 s: ${took} ms`);

let got = calls.join();
let more = next.join();
check(got.whole == 8, `callers of the first model are served: ${got.whole}, ${got.codes}`);
check(more.whole == 4, `callers of the second model are served: ${more.whole}, ${more.codes}`);
check(loads("model-00") == 1, `the new lead orders no second load: ${loads("model-00")}`);
check(loads("model-00") <= decisions("model-00"), "loads do not exceed decisions");
check(loads("model-01") == 1, "the second model is loaded once");
check(memory_held(), "accelerator memory is not overcommitted");
