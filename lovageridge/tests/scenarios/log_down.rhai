// The log is down. If engines check fencing, the lead continues to decide; if not, no load is ordered after
// the lease has expired, but warm models are still served. Booking calls with a key are refused as not run.
// After the outage, decisions and keyed calls continue.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 4 });
let warm = burst(#{ callers: 8, model: "model-00", tokens: 3 });
check(warm.whole == 8, "warm before the outage");

log_faults(#{ refuse: true });
// A warm model is served during the whole outage: 2.5 s, or OUTAGE_MS.
let up_ms = now_ms() + OUTAGE_MS;
let rounds = 0;
while rounds == 0 || now_ms() < up_ms {
    sleep_ms(if OUTAGE_MS < 5000 { OUTAGE_MS } else { 5000 });
    rounds += 1;
    let served = burst(#{ callers: 8, model: "model-00", tokens: 3, salt: `down${rounds}` });
    check(served.whole == 8, `a warm model is served during the outage: ${served.whole}, ${served.codes}`);
}
figure("outage_rounds", rounds);
let cold = burst(#{ callers: 8, model: "model-01", tokens: 3, deadline_ms: 4000 });
if FENCING {
    check(cold.whole == 8, `the lead of the epoch continues to decide: ${cold.whole}, ${cold.codes}`);
    check(loads("model-01") == 1, "the cold model is loaded once");
} else {
    check(loads("model-01") == 0, "no load is ordered without a proof of leadership");
    check(cold.answered == 8 && cold.not_run == 8, `requests are refused in time as not run: ${cold.codes}`);
    check(cold.longest_ms <= 4300, `refusals come no later than the deadline: ${cold.longest_ms} ms`);
}
let calls = start_bookings(#{ callers: 4, each: 2, retries: 0, deadline_ms: 2000, salt: "d" });
let results = calls.join_bookings();
check(results.not_run == 8 && results.lies == 0, `keyed calls are refused as not run: ${results}`);

log_faults(#{});
sleep_ms(2500);
let again = burst(#{ callers: 8, model: "model-02", tokens: 3 });
check(again.whole == 8, `decisions continue after the outage: ${again.whole}, ${again.codes}`);
let calls = start_bookings(#{ callers: 4, each: 2, salt: "u" });
let results = calls.join_bookings();
check(results.booked == 8 && results.twice == 0, `keyed calls run after the outage: ${results}`);
check(memory_held(), "accelerator memory is not overcommitted");
