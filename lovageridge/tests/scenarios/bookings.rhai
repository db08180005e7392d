// Booking calls under mixed faults of the services: answers lost, late and broken off, refused
// connections, resets. Each key runs at most once, each not_run is true, each caller is answered.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 2, bookings: 3 });
booking_faults(#{ lose_every: 17, late_every: 11, late_ms: 400, truncate_every: 23 });
let calls = start_bookings(#{ callers: 100, each: 100, deadline_ms: 1500 });
for turn in 0..12 {
    sleep_ms(400);
    booking_relay(turn % 3, "reset");
    sleep_ms(300);
    booking_relay(turn % 3, "pass");
}
let told = calls.join_bookings();
figure("bookings", `${told}`);
figure("log_appends", truth().log_appends);
check(told.slots == 10000, "all slots were asked for");
check(told.twice == 0, `no booking ran twice: ${told.twice}`);
check(told.lies == 0, `every not_run is true: ${told.lies}`);
check(told.lost == 0, `every booking that was told is there: ${told.lost}`);
check(told.answered == told.calls, `each call has one outcome: ${told.answered} of ${told.calls}`);
check(told.booked > 7000, `most bookings succeed: ${told.booked}`);
