// An entry is killed while its callers book; they come again at other entries with their keys.
// The log loses the answers of some appends meanwhile.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 2, bookings: 3 });
booking_faults(#{ late_every: 2, late_ms: 150 });
let calls = start_bookings(#{ callers: 30, each: 8, deadline_ms: 5000, retries: 4 });
sleep_ms(300);
log_faults(#{ lose_answers: 3 });
sleep_ms(300);
kill_entry(1);
sleep_ms(500);
kill_entry(2);
let told = calls.join_bookings();
figure("bookings", `${told}`);
check(told.twice == 0, `no booking ran twice: ${told.twice}`);
check(told.lies == 0, `every not_run is true: ${told.lies}`);
check(told.lost == 0, `every booking that was told is there: ${told.lost}`);
check(told.booked > 120, `bookings go on: ${told.booked}`);
