// One partner sends 20 times the requests of the other. The other's callers are served nearly as fast as
// without the flood, at the flooded entry and elsewhere; the flood is served or refused, never dropped.
// The median of three rounds is compared, so that one slow moment of the machine has no effect.
start_venture(#{ fencing: FENCING, entries: 3, domains: 1, workers: 1, slots: 16, token_ms: 10 });
let warm = burst(#{ callers: 3, model: "model-00", tokens: 3 });
check(warm.whole == 3, "warm");

fn round(salt) {
    burst(#{ callers: 4, each: 25, gap_ms: 60, model: "model-00", tokens: 30, priority: "interactive", salt: salt })
}
fn middle(values) {
    values.sort();
    values[1]
}

let alone = [];
for turn in 0..3 {
    let got = round(`a${turn}`);
    check(got.whole == 100, `all are served without the flood: ${got.whole}, ${got.codes}`);
    alone.push(got.total_p99_ms);
}
let flood = start_burst(#{ callers: 80, each: 14, partner: "boards", model: "model-00", tokens: 30, salt: "f", entry: 0, deadline_ms: 6000, priority: "standard" });
sleep_ms(1000);
let beside = [];
for turn in 0..3 {
    let got = round(`b${turn}`);
    check(got.whole == 100, `all requests of the other partner are served during the flood: ${got.whole}, ${got.codes}`);
    beside.push(got.total_p99_ms);
}
check(flood.running() >= 60, `the flood lasts longer than the rounds during it: ${flood.running()} of 80 callers are still running`);
let flooded = flood.join();
figure("alone_p99_ms", `${alone}`);
figure("beside_p99_ms", `${beside}`);
figure("flood", `${flooded}`);
check(flooded.answered == 80 * 14, `each request of the flood is answered: ${flooded.answered}`);
let limit = middle(alone) * 11;
check(middle(beside) * 10 <= limit, `p99 ${beside} ms during the flood, ${alone} ms without it`);
