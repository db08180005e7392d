// Entries are killed while bookings of their callers are running; the callers retry at other entries with the
// same keys and are answered that the outcome is unknown. Then the log loses responses to appends: claims
// that were stored are effective, claims queued behind them are not delayed, and another entry is killed.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 2, bookings: 3 });
booking_faults(#{ late_every: 1, late_ms: 400 });
let calls = start_bookings(#{ callers: 40, each: 5, deadline_ms: 5000, retries: 4 });
sleep_ms(600);
kill_entry(1);
sleep_ms(500);
kill_entry(2);
let results = calls.join_bookings();
figure("bookings", `${results}`);
check(results.unknown > 0, `bookings were in progress when the entries were killed: ${results.unknown}`);
check(results.twice == 0, `no booking ran twice: ${results.twice}`);
check(results.lies == 0, `no call reported as not_run ran: ${results.lies}`);
check(results.lost == 0, `every confirmed booking is stored: ${results.lost}`);
check(results.booked > 120, `most bookings succeed: ${results.booked}`);

start_entry(1);
start_entry(2);
check(wait_ready(1, 10000) && wait_ready(2, 10000), "the entries are ready again");
booking_faults(#{});
let calls = start_bookings(#{ callers: 30, each: 40, deadline_ms: 5000, retries: 4, salt: "l" });
sleep_ms(200);
log_faults(#{ lose_answers: 3 });
sleep_ms(300);
kill_entry(3);
let results = calls.join_bookings();
figure("lost_answers", `${results}`);
check(results.twice == 0, `no booking ran twice: ${results.twice}`);
check(results.lies == 0, `no call reported as not_run ran: ${results.lies}`);
check(results.lost == 0, `every confirmed booking is stored: ${results.lost}`);
check(results.booked > 1100, `most bookings succeed: ${results.booked}`);
check(results.total_p99_ms < 1000, `lost responses do not delay other claims: p99 ${results.total_p99_ms} ms`);
