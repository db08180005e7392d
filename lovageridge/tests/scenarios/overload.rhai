// Three times the capacity is asked for: the goodput stays near capacity and refusals come in time.
// Then engines break one stream in three for a while (a brown-out): retries stay a small part of the
// fresh traffic, and after it ends the callers are served as before.
start_venture(#{ fencing: FENCING, entries: 2, domains: 1, workers: 2, slots: 8, token_ms: 10, replicas_max: 2 });
let warm = burst(#{ callers: 40, model: "model-00", tokens: 60 });
check(warm.whole == 40, `warm: ${warm.whole}, ${warm.codes}`);
let both = burst(#{ callers: 48, model: "model-00", tokens: 30, salt: "two" });
check(loads("model-00") == 2, `saturation has brought a second replica: ${loads("model-00")}`);
// Capacity: 16 sequences at once of 30 tokens of 10 ms.
let full_begun = now_ms();
let full = burst(#{ callers: 16, each: 20, model: "model-00", tokens: 30, salt: "full" });
let full_rate = full.whole * 1000.0 / (now_ms() - full_begun);
let over_begun = now_ms();
let over = burst(#{ callers: 48, each: 14, model: "model-00", tokens: 30, salt: "over", deadline_ms: 700 });
let over_rate = over.whole * 1000.0 / (now_ms() - over_begun);
figure("capacity_per_s", full_rate);
figure("goodput_per_s", over_rate);
figure("overload", `${over}`);
check(over.answered == 48 * 14, `all answered: ${over.answered} of ${over.calls}`);
check(over.longest_ms <= 1000, `no later than shortly after the deadline: ${over.longest_ms} ms`);
check(over_rate >= full_rate * 0.95, `goodput ${over_rate} of ${full_rate} a second`);

let before = truth();
worker_faults(0, #{ break_streams: 1000 });
let brown = burst(#{ callers: 12, each: 20, model: "model-00", tokens: 20, salt: "brown", deadline_ms: 5000 });
worker_faults(0, #{});
let after = truth();
let retries = after.generations - before.generations - brown.calls;
figure("brown_out", `${brown}`);
figure("retries", retries);
check(brown.answered == 240, `all answered in the brown-out: ${brown.answered}`);
// 10 percent of the fresh requests, and the budget of 10 that each entry has saved.
check(retries <= 24 + 20, `retries ${retries} of ${brown.calls} requests`);
let again = burst(#{ callers: 16, each: 10, model: "model-00", tokens: 30, salt: "again" });
check(again.whole == 160, `served as before: ${again.whole}, ${again.codes}`);
check(again.total_p99_ms <= full.total_p99_ms * 2, `no tail remains: p99 ${again.total_p99_ms}, before ${full.total_p99_ms}`);
