// Booking calls while the services lose, delay and truncate responses and connections are reset or
// refused. Each key runs at most once, a call reported as not_run did not run, and each call has one
// outcome.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 2, bookings: 3 });
booking_faults(#{ lose_every: 17, late_every: 11, late_ms: 400, truncate_every: 23 });
let calls = start_bookings(#{ callers: 100, each: 100, deadline_ms: 1500 });
for turn in 0..12 {
    sleep_ms(400);
    booking_relay(turn % 3, "reset");
    sleep_ms(300);
    booking_relay(turn % 3, "pass");
}
let results = calls.join_bookings();
figure("bookings", `${results}`);
figure("log_appends", truth().log_appends);
check(results.slots == 10000, "all slots were requested");
check(results.twice == 0, `no booking ran twice: ${results.twice}`);
check(results.lies == 0, `no call reported as not_run ran: ${results.lies}`);
check(results.lost == 0, `every confirmed booking is stored: ${results.lost}`);
check(results.answered == results.calls, `each call has one outcome: ${results.answered} of ${results.calls}`);
check(results.booked > 7000, `most bookings succeed: ${results.booked}`);
