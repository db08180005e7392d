// The log retains records for 10 s only. Leads, keys and the document outlive that: the cell keeps its lead,
// a repeated key gets the stored response, and an instance that starts later has the same state.
start_venture(#{ fencing: FENCING, entries: 4, domains: 1, workers: 4, retention_s: 10 });
log_faults(#{ retention_ms: 10000 });
let cell = "lm-pool/sohar-a/0";
let warm = burst(#{ callers: 4, model: "model-00", tokens: 3 });
check(warm.whole == 4, "warm");
let first = epoch(cell);
let old = lead(cell);
let begun = start_bookings(#{ callers: 4, each: 5, salt: "a" }).join_bookings();
check(begun.booked == 20 && begun.twice == 0, `all slots are booked: ${begun}`);
let again = start_bookings(#{ callers: 4, each: 5, salt: "a" }).join_bookings();
check(again.booked == 20 && again.twice == 0, `repeated keys are replayed and nothing runs again: ${again}`);
sleep_ms(24000);
check(epoch(cell) == first && lead(cell) == old, `the lead outlives the retention: ${first}, ${epoch(cell)}`);
let cold = burst(#{ callers: 8, model: "model-01", tokens: 3 });
check(cold.whole == 8 && loads("model-01") == 1, `a cold model is served with one load: ${cold}`);

let other = (old + 1) % 4;
kill_entry(other);
start_entry(other);
check(wait_ready(other, 10000), "an instance starts after the first records have expired");
check(config_version(other) == config_version(old), "the new instance has the document in force");
let more = start_bookings(#{ callers: 8, each: 5, salt: "b" }).join_bookings();
check(more.booked == 40 && more.twice == 0, `keyed calls run at all instances: ${more}`);
let served = burst(#{ callers: 4, entry: other, model: "model-02", tokens: 3 });
check(served.whole == 4 && loads("model-02") == 1, `the new instance knows the lead: ${served}`);

kill_entry(old);
let successor = wait_lead(cell, old, 10000);
check(epoch(cell) > first, "the epoch increases after the claim of the first lead has expired");
let next = burst(#{ callers: 4, model: "model-03", tokens: 3 });
check(next.whole == 4 && loads("model-03") == 1, `the new lead decides: ${next}`);
check(memory_held(), "accelerator memory is not overcommitted");
