// Entries are killed while their callers' bookings run; the callers come again at other entries with
// their keys, and are told that the outcome is not known. Then the log loses the answers of appends:
// claims that took effect count, those behind them are not held up, and an entry is killed again.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 2, bookings: 3 });
booking_faults(#{ late_every: 1, late_ms: 400 });
let calls = start_bookings(#{ callers: 40, each: 5, deadline_ms: 5000, retries: 4 });
sleep_ms(600);
kill_entry(1);
sleep_ms(500);
kill_entry(2);
let told = calls.join_bookings();
figure("bookings", `${told}`);
check(told.unknown > 0, `the kills met bookings in progress: ${told.unknown}`);
check(told.twice == 0, `no booking ran twice: ${told.twice}`);
check(told.lies == 0, `every not_run is true: ${told.lies}`);
check(told.lost == 0, `every booking that was told is there: ${told.lost}`);
check(told.booked > 120, `bookings go on: ${told.booked}`);

start_entry(1);
start_entry(2);
check(wait_ready(1, 10000) && wait_ready(2, 10000), "the entries are back");
booking_faults(#{});
let calls = start_bookings(#{ callers: 30, each: 40, deadline_ms: 5000, retries: 4, salt: "l" });
sleep_ms(200);
log_faults(#{ lose_answers: 3 });
sleep_ms(300);
kill_entry(3);
let told = calls.join_bookings();
figure("lost_answers", `${told}`);
check(told.twice == 0, `no booking ran twice: ${told.twice}`);
check(told.lies == 0, `every not_run is true: ${told.lies}`);
check(told.lost == 0, `every booking that was told is there: ${told.lost}`);
check(told.booked > 1100, `bookings go on: ${told.booked}`);
check(told.total_p99_ms < 1000, `lost answers hold up no other claim: p99 ${told.total_p99_ms} ms`);
