// All entries are restarted one after the other under load: no stream is cut, no caller is left
// without an answer.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 4, timing: "linger_ms = 600" });
let warm = burst(#{ callers: 8, model: "model-00", tokens: 3 });
check(warm.whole == 8, "warm");
for turn in 0..4 {
    let stay = (turn + 1) % 4;
    // Callers of the stopping entry have streams open; those of another one keep coming.
    let open = start_burst(#{ callers: 10, entry: turn, model: "model-00", tokens: 80, salt: `o${turn}` });
    let coming = start_burst(#{ callers: 6, each: 10, gap_ms: 50, entry: stay, model: "model-00", tokens: 5 });
    sleep_ms(300);
    terminate_entry(turn);
    let late = burst(#{ callers: 4, entry: turn, model: "model-00", tokens: 3, salt: `l${turn}` });
    check(late.whole == 4, `served while the balancer notices: ${late.whole}, ${late.codes}`);
    check(wait_exit(turn, 20000), "the entry ended well");
    let got = open.join();
    check(got.whole == 10, `entry ${turn} cut no stream: ${got.whole}, ${got.codes}`);
    let more = coming.join();
    check(more.whole == 60, `all others served: ${more.whole}, ${more.codes}`);
    start_entry(turn);
    check(wait_ready(turn, 10000), "the entry is back");
}
// An entry without any request in progress is reachable for the whole of its linger time, too.
terminate_entry(0);
sleep_ms(450);
let late = burst(#{ callers: 4, entry: 0, model: "model-00", tokens: 3, salt: "idle" });
check(late.whole == 4, `an idle entry serves on while the balancer notices: ${late.whole}, ${late.codes}`);
check(wait_exit(0, 20000), "the entry ended well");
check(loads("model-00") <= decisions("model-00"), "loads do not exceed decisions");
