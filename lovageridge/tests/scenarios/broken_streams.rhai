// Streams are interrupted and an engine restarts: each caller receives the complete response to its
// request, without duplicate or missing tokens.
start_venture(#{ fencing: FENCING, entries: 4, domains: 2, workers: 4, replicas_max: 2, slots: 4 });
// Saturation causes a second replica to be loaded in the cell.
let warm = burst(#{ callers: 24, model: "model-00", tokens: 30 });
check(warm.whole == 24, `all responses are complete: ${warm.whole}, ${warm.codes}`);
let first = worker_of("model-00");

worker_faults(first, #{ break_streams: 6 });
let got = burst(#{ callers: 24, model: "model-00", tokens: 20, salt: "broken" });
check(got.whole == 24, `responses are complete after interrupted streams: ${got.whole}, ${got.codes}`);
check(truth().resumes > 0, "streams were resumed");

let calls = start_burst(#{ callers: 8, model: "model-00", tokens: 60, salt: "restart" });
sleep_ms(300);
restart_worker(first);
let got = calls.join();
check(got.whole == 8, `responses are complete after an engine restart: ${got.whole}, ${got.codes}`);
check(truth().bad_resumes == 0, "each resume continues after the delivered tokens");
check(loads("model-00") <= decisions("model-00"), "loads do not exceed decisions");
check(memory_held(), "accelerator memory is not overcommitted");
