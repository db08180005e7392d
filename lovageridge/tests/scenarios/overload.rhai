// Load of three times the capacity: goodput stays near capacity and refusals come in time. Then one engine
// interrupts its streams for a while (a brown-out): retries stay a small fraction of the new requests, and
// afterwards the callers are served as before.
start_venture(#{ fencing: FENCING, entries: 2, domains: 1, workers: 2, slots: 8, token_ms: 10, replicas_max: 2 });
let warm = burst(#{ callers: 40, model: "model-00", tokens: 60 });
check(warm.whole == 40, `warm: ${warm.whole}, ${warm.codes}`);
let both = burst(#{ callers: 48, model: "model-00", tokens: 30, salt: "two" });
check(loads("model-00") == 2, `saturation causes a second replica to be loaded: ${loads("model-00")}`);
// Capacity: 16 concurrent sequences of 30 tokens, at 10 ms per token.
let full_begun = now_ms();
let full = burst(#{ callers: 16, each: 20, model: "model-00", tokens: 30, salt: "full" });
let full_rate = full.whole * 1000.0 / (now_ms() - full_begun);
let over_begun = now_ms();
let over = burst(#{ callers: 48, each: 14, model: "model-00", tokens: 30, salt: "over", deadline_ms: 700 });
let over_rate = over.whole * 1000.0 / (now_ms() - over_begun);
figure("capacity_per_s", full_rate);
figure("goodput_per_s", over_rate);
figure("overload", `${over}`);
check(over.answered == 48 * 14, `all requests are answered: ${over.answered} of ${over.calls}`);
check(over.longest_ms <= 1000, `responses come at most 300 ms after the deadline: ${over.longest_ms} ms`);
check(over_rate >= full_rate * 0.95, `goodput of ${over_rate} requests a second, capacity ${full_rate}`);

let before = truth();
worker_faults(0, #{ break_streams: 1000 });
let brown = burst(#{ callers: 12, each: 20, model: "model-00", tokens: 20, salt: "brown", deadline_ms: 5000 });
worker_faults(0, #{});
let after = truth();
let retries = after.generations - before.generations - brown.calls;
figure("brown_out", `${brown}`);
figure("retries", retries);
check(brown.answered == 240, `all requests are answered during the brown-out: ${brown.answered}`);
// 10 % of the new requests, and the saved retry budget of 10 of each entry.
check(retries <= 24 + 20, `retries ${retries} of ${brown.calls} requests`);
let again = burst(#{ callers: 16, each: 10, model: "model-00", tokens: 30, salt: "again" });
check(again.whole == 160, `all requests are served after the brown-out: ${again.whole}, ${again.codes}`);
check(again.total_p99_ms <= full.total_p99_ms * 2, `latency recovers after the brown-out: p99 ${again.total_p99_ms}, before ${full.total_p99_ms}`);
