// A worker is leaving, as reported by itself or by the instance list, which lags 2 s. After 3 s it receives
// no new requests, its streams in progress complete, and callers are served elsewhere.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 4 });
let warm = burst(#{ callers: 8, model: "model-00", tokens: 3 });
check(warm.whole == 8, "warm");
let leaving = worker_of("model-00");
let calls = start_burst(#{ callers: 8, each: 30, gap_ms: 100, model: "model-00", tokens: 10 });
sleep_ms(300);
worker_leaves(leaving, false, true);
sleep_ms(3000);
let before = generations_on(leaving);
let got = calls.join();
check(got.whole == 240, `all requests are served: ${got.whole}, ${got.codes}`);
check(generations_on(leaving) == before, "no new requests 3 s after the list reports the worker as leaving");

let warm = burst(#{ callers: 8, model: "model-01", tokens: 3 });
let leaving = worker_of("model-01");
let calls = start_burst(#{ callers: 8, each: 20, gap_ms: 100, model: "model-01", tokens: 10 });
sleep_ms(300);
worker_leaves(leaving, true, false);
let got = calls.join();
check(got.whole == 160, `all requests are served: ${got.whole}, ${got.codes}`);
check(truth().while_leaving == 0, "no request starts on an engine that reported that it is leaving");
check(memory_held(), "accelerator memory is not overcommitted");
