// All entries are restarted one after the other under load: no stream is interrupted and every caller is
// served.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 4, timing: "linger_ms = 600" });
let warm = burst(#{ callers: 8, model: "model-00", tokens: 3 });
check(warm.whole == 8, "warm");
for turn in 0..4 {
    let stay = (turn + 1) % 4;
    // The stopping entry has open streams, while another entry keeps receiving new requests.
    let open = start_burst(#{ callers: 10, entry: turn, model: "model-00", tokens: 80, salt: `o${turn}` });
    let coming = start_burst(#{ callers: 6, each: 10, gap_ms: 50, entry: stay, model: "model-00", tokens: 5 });
    sleep_ms(300);
    terminate_entry(turn);
    let late = burst(#{ callers: 4, entry: turn, model: "model-00", tokens: 3, salt: `l${turn}` });
    check(late.whole == 4, `requests are served until load balancers notice the stop: ${late.whole}, ${late.codes}`);
    check(wait_exit(turn, 20000), "the entry exits cleanly");
    let got = open.join();
    check(got.whole == 10, `entry ${turn} interrupted no stream: ${got.whole}, ${got.codes}`);
    let more = coming.join();
    check(more.whole == 60, `all requests at the other entry are served: ${more.whole}, ${more.codes}`);
    start_entry(turn);
    check(wait_ready(turn, 10000), "the entry is ready again");
}
// An entry without requests in progress also accepts requests for its whole linger time.
terminate_entry(0);
sleep_ms(450);
let late = burst(#{ callers: 4, entry: 0, model: "model-00", tokens: 3, salt: "idle" });
check(late.whole == 4, `an idle entry serves requests until load balancers notice the stop: ${late.whole}, ${late.codes}`);
check(wait_exit(0, 20000), "the entry exits cleanly");
check(loads("model-00") <= decisions("model-00"), "loads do not exceed decisions");
