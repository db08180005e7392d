// The log loses as many answers as the only entry has threads for appends of claims, all in a row.
// The claims took effect, so their bookings go on, and the claims behind them are not held up.
start_venture(#{ fencing: FENCING, entries: 1, domains: 1, workers: 2, bookings: 3 });
let calls = start_bookings(#{ callers: 30, each: 40, deadline_ms: 5000, retries: 4 });
sleep_ms(300);
log_faults(#{ lose_answers: 3 });
let told = calls.join_bookings();
figure("bookings", `${told}`);
check(told.twice == 0, `no booking ran twice: ${told.twice}`);
check(told.lies == 0, `every not_run is true: ${told.lies}`);
check(told.lost == 0, `every booking that was told is there: ${told.lost}`);
check(told.booked > 1100, `bookings go on: ${told.booked}`);
check(told.total_p99_ms < 1000, `lost answers hold up no other claim: p99 ${told.total_p99_ms} ms`);
