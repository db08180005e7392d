// Batch requests (weekly summaries) wait behind interactive ones, but still finish before their deadline.
start_venture(#{ fencing: FENCING, entries: 1, domains: 1, workers: 1, slots: 4, token_ms: 10 });
let warm = burst(#{ callers: 2, model: "model-00", tokens: 5 });
check(warm.whole == 2, "warm");
let gate = start_burst(#{ callers: 10, each: 24, model: "model-00", tokens: 20, priority: "interactive", salt: "g" });
sleep_ms(300);
let weekly = start_burst(#{ callers: 4, model: "model-00", tokens: 20, priority: "batch", salt: "w", deadline_ms: 9000 });
let gated = gate.join();
let summed = weekly.join();
figure("interactive_p99_ms", gated.total_p99_ms);
figure("batch_longest_ms", summed.longest_ms);
check(gated.whole == 240, `all interactive requests are served: ${gated.whole}, ${gated.codes}`);
check(summed.whole == 4, `batch requests finish before their deadline: ${summed.whole}, ${summed.codes}`);
check(summed.total_p50_ms >= gated.total_p99_ms, `batch requests wait behind interactive ones: ${summed.total_p50_ms} ms, ${gated.total_p99_ms} ms`);
