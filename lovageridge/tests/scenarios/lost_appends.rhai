// The log loses as many consecutive responses as the only entry has threads that append claims. The claims
// were stored, so their bookings continue, and claims queued behind them are not delayed.
start_venture(#{ fencing: FENCING, entries: 1, domains: 1, workers: 2, bookings: 3 });
let calls = start_bookings(#{ callers: 30, each: 40, deadline_ms: 5000, retries: 4 });
sleep_ms(300);
log_faults(#{ lose_answers: 3 });
let results = calls.join_bookings();
figure("bookings", `${results}`);
check(results.twice == 0, `no booking ran twice: ${results.twice}`);
check(results.lies == 0, `no call reported as not_run ran: ${results.lies}`);
check(results.lost == 0, `every confirmed booking is stored: ${results.lost}`);
check(results.booked > 1100, `most bookings succeed: ${results.booked}`);
check(results.total_p99_ms < 1000, `lost responses do not delay other claims: p99 ${results.total_p99_ms} ms`);
