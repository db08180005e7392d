// The log is down. On engines that check fencing the lead goes on deciding; on engines that do
// not, no load is ordered past the lease, and warm models are served all the same. Booking calls
// with a key are refused as not run. After the outage everything goes on.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 4 });
let warm = burst(#{ callers: 8, model: "model-00", tokens: 3 });
check(warm.whole == 8, "warm before the outage");

log_faults(#{ refuse: true });
// A warm model is served all the while: 2.5 s, or as long as OUTAGE_MS says.
let up_ms = now_ms() + OUTAGE_MS;
let rounds = 0;
while rounds == 0 || now_ms() < up_ms {
    sleep_ms(if OUTAGE_MS < 5000 { OUTAGE_MS } else { 5000 });
    rounds += 1;
    let served = burst(#{ callers: 8, model: "model-00", tokens: 3, salt: `down${rounds}` });
    check(served.whole == 8, `a warm model is served: ${served.whole}, ${served.codes}`);
}
figure("outage_rounds", rounds);
let cold = burst(#{ callers: 8, model: "model-01", tokens: 3, deadline_ms: 4000 });
if FENCING {
    check(cold.whole == 8, `the holder of the epoch decides on: ${cold.whole}, ${cold.codes}`);
    check(loads("model-01") == 1, "with one load");
} else {
    check(loads("model-01") == 0, "without a proof of lead nothing is ordered");
    check(cold.answered == 8 && cold.not_run == 8, `refused in time, not run: ${cold.codes}`);
    check(cold.longest_ms <= 4300, `no later than the deadline: ${cold.longest_ms} ms`);
}
let calls = start_bookings(#{ callers: 4, each: 2, retries: 0, deadline_ms: 2000, salt: "d" });
let told = calls.join_bookings();
check(told.not_run == 8 && told.lies == 0, `keyed calls are refused, not run: ${told}`);

log_faults(#{});
sleep_ms(2500);
let again = burst(#{ callers: 8, model: "model-02", tokens: 3 });
check(again.whole == 8, `decisions go on after the outage: ${again.whole}, ${again.codes}`);
let calls = start_bookings(#{ callers: 4, each: 2, salt: "u" });
let told = calls.join_bookings();
check(told.booked == 8 && told.twice == 0, `keyed calls run after the outage: ${told}`);
check(memory_held(), "accelerator memory is not overcommitted");
