//! The functions that scripts may call.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use lovageridge::config::record::SectionChange;
use lovageridge::context::lock;
use lovageridge::sorted::Table;
use rhai::Dynamic;
use rhai::Engine;
use rhai::EvalAltResult;
use rhai::Map;

use crate::booking::Booking;
use crate::booking::BookingFaults;
use crate::relay::Mode;
use crate::scenario::Handle;
use crate::scenario::flag;
use crate::scenario::int;
use crate::scenario::load;
use crate::scenario::load::Calls;
use crate::scenario::number;
use crate::scenario::text;
use crate::venture::BOARDS_TOKEN;
use crate::venture::OPS_TOKEN;
use crate::venture::Shape;
use crate::world::World;

type Result<T> = std::result::Result<T, Box<EvalAltResult>>;

fn fail<T>(error: impl std::fmt::Display) -> Result<T> {
    Err(format!("{error:#}").into())
}

impl Handle {
    fn with<T>(&self, act: impl FnOnce(&mut World) -> T) -> Result<T> {
        match lock(&self.world).as_mut() {
            Some(world) => Ok(act(world)),
            None => fail("the venture has not been started"),
        }
    }

    fn callers(&self, options: &Map) -> Result<Vec<SocketAddr>> {
        let domain = text(options, "domain", "");
        let only = options.get("entry").and_then(|v| v.as_int().ok());
        self.with(|world| {
            let entries = world.entries.iter().enumerate();
            let chosen = entries.filter(|(at, e)| {
                let wanted = only.is_none_or(|only| only == *at as i64);
                wanted && e.process.is_some() && (domain.is_empty() || e.domain == domain)
            });
            chosen.map(|(_, e)| e.addrs.callers).collect()
        })
    }
}

/// Registers all functions.
pub fn register(engine: &mut Engine, handle: &Handle, binary: PathBuf) {
    engine.register_type_with_name::<Calls>("Calls");
    register_checks(engine, handle);
    register_venture(engine, handle, binary);
    register_load(engine, handle);
    register_platform_faults(engine, handle);
    register_entry_faults(engine, handle);
    register_upstream_faults(engine, handle);
    register_truth(engine, handle);
    register_edits(engine, handle);
}

fn register_checks(engine: &mut Engine, handle: &Handle) {
    let h = handle.clone();
    engine.register_fn("check", move |holds: bool, what: &str| {
        let mut report = lock(&h.report);
        let rows = if holds { &mut report.passed } else { &mut report.failed };
        rows.push(what.to_owned());
    });
    let h = handle.clone();
    engine.register_fn("figure", move |name: &str, value: Dynamic| {
        lock(&h.report).figures.push(format!("{name} = {value}"));
    });
    engine.register_fn("sleep_ms", |ms: i64| {
        std::thread::sleep(Duration::from_millis(ms.max(0) as u64));
    });
    let epoch = Instant::now();
    engine.register_fn("now_ms", move || epoch.elapsed().as_millis() as i64);
}

fn shape(options: &Map, fencing: bool) -> Shape {
    let base = Shape::default();
    let count = |key, default: usize| number(options, key, default as u64) as usize;
    let domains = number(options, "domains", 3) as usize;
    let names = ["sohar-a", "sohar-b", "saham-c", "palermo", "catania", "enna", "ragusa"];
    Shape {
        domains: names.iter().take(domains).map(|n| (*n).to_owned()).collect(),
        entries: count("entries", base.entries),
        workers: count("workers", base.workers),
        bookings: count("bookings", base.bookings),
        models: count("models", base.models),
        adapters: count("adapters", base.adapters),
        model_mb: number(options, "model_mb", base.model_mb),
        accelerator_mb: number(options, "accelerator_mb", base.accelerator_mb),
        accelerators: count("accelerators", base.accelerators),
        host_mb: number(options, "host_mb", base.host_mb),
        slots: count("slots", base.slots),
        token_ms: number(options, "token_ms", base.token_ms),
        store_mb_per_s: number(options, "store_mb_per_s", base.store_mb_per_s),
        store_loads_per_s: number(options, "store_loads_per_s", base.store_loads_per_s),
        store_slots: number(options, "store_slots", base.store_slots),
        fencing: flag(options, "fencing", fencing),
        replicas_max: number(options, "replicas_max", base.replicas_max),
        keep_alive_s: number(options, "keep_alive_s", base.keep_alive_s),
        cold_weight_pct: number(options, "cold_weight_pct", base.cold_weight_pct),
        boards_limit: number(options, "boards_limit", base.boards_limit),
        retention_s: number(options, "retention_s", base.retention_s),
        traces: flag(options, "traces", base.traces),
    }
}

fn register_venture(engine: &mut Engine, handle: &Handle, binary: PathBuf) {
    let h = handle.clone();
    engine.register_fn("start_venture", move |options: Map| -> Result<()> {
        let timing = text(&options, "timing", "linger_ms = 300");
        let shape = shape(&options, flag(&options, "fencing", true));
        match World::start(binary.clone(), shape, &timing) {
            Ok(world) => {
                *lock(&h.world) = Some(world);
                Ok(())
            }
            Err(e) => fail(e),
        }
    });
    let h = handle.clone();
    engine.register_fn("wait_lead", move |cell: &str, other_than: i64, timeout_ms: i64| {
        let until = Instant::now() + Duration::from_millis(timeout_ms.max(0) as u64);
        while Instant::now() < until {
            let found = h.with(|world| world.lead_of(cell))?;
            if let Some((at, _)) = found.filter(|(at, _)| *at as i64 != other_than) {
                return Ok(at as i64);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        fail(format!("no lead of {cell} in time"))
    });
    let h = handle.clone();
    engine.register_fn("lead", move |cell: &str| -> Result<i64> {
        match h.with(|world| world.lead_of(cell))? {
            Some((at, _)) => Ok(at as i64),
            None => Ok(-1),
        }
    });
    let h = handle.clone();
    engine.register_fn("epoch", move |cell: &str| -> Result<i64> {
        Ok(h.with(|world| world.lead_of(cell))?.map_or(-1, |(_, epoch)| epoch as i64))
    });
    let h = handle.clone();
    engine.register_fn("domain_of", move |entry: i64| -> Result<String> {
        h.with(|world| world.entries[entry as usize].domain.clone())
    });
}

fn register_load(engine: &mut Engine, handle: &Handle) {
    let h = handle.clone();
    engine.register_fn("burst", move |options: Map| -> Result<Map> {
        let entries = h.callers(&options)?;
        Ok(load::summary(&Calls::completions(&entries, &options).join()))
    });
    let h = handle.clone();
    engine.register_fn("start_burst", move |options: Map| -> Result<Calls> {
        let entries = h.callers(&options)?;
        Ok(Calls::completions(&entries, &options))
    });
    let h = handle.clone();
    engine.register_fn("start_bookings", move |options: Map| -> Result<Calls> {
        let entries = h.callers(&options)?;
        Ok(Calls::bookings(&entries, &options))
    });
    engine.register_fn("running", |calls: &mut Calls| int(calls.running() as u64));
    engine.register_fn("join", |calls: &mut Calls| load::summary(&calls.join()));
    let h = handle.clone();
    engine.register_fn("join_bookings", move |calls: &mut Calls| -> Result<Map> {
        let all = calls.join();
        // Calls whose answers were lost may still be running.
        std::thread::sleep(Duration::from_millis(500));
        let counts = |of: fn(&Booking) -> Table<String, u64>| {
            h.with(|world| {
                let mut sum: Table<String, u64> = Table::new();
                for node in &world.bookings {
                    for (name, count) in of(&node.booking).iter() {
                        *sum.get_or_insert_with(name.clone(), || 0) += count;
                    }
                }
                sum
            })
        };
        Ok(load::compare_bookings(&all, &counts(Booking::runs)?, &counts(Booking::attempts)?))
    });
}

fn mode(name: &str) -> Result<Mode> {
    match name {
        "pass" => Ok(Mode::Pass),
        "reset" => Ok(Mode::Reset),
        "silent" => Ok(Mode::Silent),
        "lose_answers" => Ok(Mode::LoseAnswers),
        _ => fail(format!("'{name}' is no mode of a relay")),
    }
}

fn register_platform_faults(engine: &mut Engine, handle: &Handle) {
    let h = handle.clone();
    engine.register_fn("log_faults", move |options: Map| -> Result<()> {
        h.with(|world| {
            world.log.set_faults(|faults| {
                faults.refuse = flag(&options, "refuse", false);
                faults.silent = flag(&options, "silent", false);
                faults.delay_ms = number(&options, "delay_ms", 0);
                faults.lose_answers = number(&options, "lose_answers", 0);
                faults.retention_ms = number(&options, "retention_ms", faults.retention_ms);
            });
        })
    });
    let h = handle.clone();
    engine.register_fn("list_down", move |down: bool| -> Result<()> {
        h.with(|world| world.list.set_down(down))
    });
    let h = handle.clone();
    engine.register_fn("cut", move |domain: &str, platform: bool, peers: bool| -> Result<()> {
        h.with(|world| world.cut_domain(domain, platform, peers))
    });
    let h = handle.clone();
    engine.register_fn("heal", move || -> Result<()> { h.with(|world| world.heal()) });
    let h = handle.clone();
    engine.register_fn("entry_log", move |entry: i64, name: &str| -> Result<()> {
        let mode = mode(name)?;
        h.with(|world| world.entries[entry as usize].log_relay.set_mode(mode))
    });
    let h = handle.clone();
    engine.register_fn("store_slow_pct", move |pct: i64| -> Result<()> {
        h.with(|world| world.store.set_slow_pct(pct.max(1) as u64))
    });
}

fn register_entry_faults(engine: &mut Engine, handle: &Handle) {
    let h = handle.clone();
    engine.register_fn("kill_entry", move |entry: i64| -> Result<()> {
        h.with(|world| {
            if let Some(mut process) = world.entries[entry as usize].process.take() {
                process.kill();
            }
        })
    });
    let h = handle.clone();
    engine.register_fn("start_entry", move |entry: i64| -> Result<()> {
        match h.with(|world| world.start_entry(entry as usize))? {
            Ok(()) => Ok(()),
            Err(e) => fail(e),
        }
    });
    for (name, act) in [
        ("pause_entry", crate::process::Process::pause as fn(&crate::process::Process)),
        ("resume_entry", crate::process::Process::resume),
        ("terminate_entry", crate::process::Process::terminate),
    ] {
        let h = handle.clone();
        engine.register_fn(name, move |entry: i64| -> Result<()> {
            h.with(|world| world.entries[entry as usize].process.as_ref().map(act)).map(drop)
        });
    }
    let h = handle.clone();
    engine.register_fn("wait_exit", move |entry: i64, timeout_ms: i64| -> Result<bool> {
        let process = h.with(|world| world.entries[entry as usize].process.take())?;
        let Some(mut process) = process else { return Ok(false) };
        Ok(process.wait(Duration::from_millis(timeout_ms.max(0) as u64)))
    });
    let h = handle.clone();
    engine.register_fn("wait_ready", move |entry: i64, timeout_ms: i64| -> Result<bool> {
        let until = Instant::now() + Duration::from_millis(timeout_ms.max(0) as u64);
        while Instant::now() < until {
            let ready = h.with(|world| world.admin(entry as usize, "/readyz"))?;
            if ready.is_ok_and(|(status, _)| status == 200) {
                return Ok(true);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(false)
    });
}

fn register_upstream_faults(engine: &mut Engine, handle: &Handle) {
    let h = handle.clone();
    engine.register_fn("worker_relay", move |worker: i64, name: &str| -> Result<()> {
        let mode = mode(name)?;
        h.with(|world| world.workers[worker as usize].relay.set_mode(mode))
    });
    let h = handle.clone();
    engine.register_fn("worker_faults", move |worker: i64, options: Map| -> Result<()> {
        h.with(|world| {
            world.workers[worker as usize].engine.set_faults(|faults| {
                faults.lose_order_answers = number(&options, "lose_order_answers", 0);
                faults.delay_orders_ms = number(&options, "delay_orders_ms", 0);
                faults.break_streams = number(&options, "break_streams", 0);
                faults.silent_streams = flag(&options, "silent_streams", false);
                faults.fail_loads = flag(&options, "fail_loads", false);
            });
        })
    });
    let h = handle.clone();
    engine.register_fn("restart_worker", move |worker: i64| -> Result<()> {
        h.with(|world| world.workers[worker as usize].engine.restart())
    });
    let h = handle.clone();
    engine.register_fn(
        "worker_leaves",
        move |worker: i64, own: bool, listed: bool| -> Result<()> {
            h.with(|world| {
                let engine = &world.workers[worker as usize].engine;
                if own {
                    engine.set_leaving(true);
                }
                if listed {
                    let id = engine.id().to_owned();
                    world.list.update(|list| {
                        list.iter_mut().filter(|l| l.id == id).for_each(|l| l.leaving = true);
                    });
                }
            })
        },
    );
    let h = handle.clone();
    engine.register_fn("booking_faults", move |options: Map| -> Result<()> {
        let faults = BookingFaults {
            lose_every: number(&options, "lose_every", 0),
            late_every: number(&options, "late_every", 0),
            late_ms: number(&options, "late_ms", 0),
            truncate_every: number(&options, "truncate_every", 0),
        };
        h.with(|world| world.bookings.iter().for_each(|node| node.booking.set_faults(faults)))
    });
    let h = handle.clone();
    engine.register_fn("booking_relay", move |at: i64, name: &str| -> Result<()> {
        let mode = mode(name)?;
        h.with(|world| world.bookings[at as usize].relay.set_mode(mode))
    });
}

fn register_truth(engine: &mut Engine, handle: &Handle) {
    let h = handle.clone();
    engine.register_fn("loads", move |model: &str| -> Result<Dynamic> {
        h.with(|world| int(world.loads(model, None)))
    });
    let h = handle.clone();
    engine.register_fn("loads_in", move |model: &str, domain: &str| -> Result<Dynamic> {
        h.with(|world| int(world.loads(model, Some(domain))))
    });
    let h = handle.clone();
    engine.register_fn("decisions", move |model: &str| -> Result<Dynamic> {
        h.with(|world| int(world.decisions(model)))
    });
    let h = handle.clone();
    engine.register_fn("memory_held", move || -> Result<bool> {
        h.with(|world| world.memory_held())
    });
    let h = handle.clone();
    engine.register_fn("worker_of", move |model: &str| -> Result<i64> {
        h.with(|world| {
            let holds = |node: &crate::world::WorkerNode| {
                node.engine.state().held.iter().any(|held| held.model == model)
            };
            world.workers.iter().position(holds).map_or(-1, |at| at as i64)
        })
    });
    let h = handle.clone();
    engine.register_fn("truth", move || -> Result<Map> {
        h.with(|world| {
            let mut map = Map::new();
            let mut put = |name: &str, value: u64| map.insert(name.into(), int(value));
            put("finished", world.count(|t| t.finished));
            put("cancelled", world.count(|t| t.cancelled));
            put("generations", world.count(|t| t.generations));
            put("resumes", world.count(|t| t.resumes));
            put("bad_resumes", world.count(|t| t.bad_resumes));
            put("fenced_orders", world.count(|t| t.fenced_orders));
            put("while_leaving", world.count(|t| t.generations_while_leaving));
            put("store_peak", world.store.peaks().0);
            put("adapter_peak", world.store.peaks().1);
            put("store_starts", world.store.starts() as u64);
            put("log_appends", world.log.appends());
            map
        })
    });
    let h = handle.clone();
    engine.register_fn("generations_on", move |worker: i64| -> Result<Dynamic> {
        h.with(|world| int(world.workers[worker as usize].engine.truth().generations))
    });
}

fn register_edits(engine: &mut Engine, handle: &Handle) {
    let h = handle.clone();
    engine.register_fn("edit", move |entry: i64, options: Map| -> Result<Map> {
        let token = match text(&options, "team", "ops").as_str() {
            "boards" => BOARDS_TOKEN,
            "none" => "",
            _ => OPS_TOKEN,
        };
        let change = SectionChange {
            section: text(&options, "section", ""),
            base_version: number(&options, "base", 0),
            body: Some(text(&options, "body", "")),
        };
        let edit_id = text(&options, "edit_id", "edit");
        let answer = h.with(|world| world.edit(entry as usize, token, &edit_id, &[change]))?;
        let mut map = Map::new();
        match answer {
            Ok((status, body)) => {
                map.insert("status".into(), int(u64::from(status)));
                let result = body["result"].as_str().unwrap_or_default().to_owned();
                map.insert("result".into(), result.into());
                map.insert("version".into(), int(body["version"].as_u64().unwrap_or(0)));
                let current = body["current_version"].as_u64().unwrap_or(0);
                map.insert("current_version".into(), int(current));
            }
            Err(_) => drop(map.insert("status".into(), int(0))),
        }
        Ok(map)
    });
    let h = handle.clone();
    engine.register_fn("config_version", move |entry: i64| -> Result<Dynamic> {
        h.with(|world| {
            let status = world.status(entry as usize);
            int(status["config_version"].as_u64().unwrap_or(0))
        })
    });
    let h = handle.clone();
    engine.register_fn("section_version", move |entry: i64, section: &str| -> Result<Dynamic> {
        h.with(|world| {
            let path = format!("/v1/sections/{section}");
            let text = world.admin(entry as usize, &path).map(|(_, t)| t).unwrap_or_default();
            let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            int(value["version"].as_u64().unwrap_or(0))
        })
    });
    let h = handle.clone();
    engine.register_fn("wait_config", move |version: i64, timeout_ms: i64| -> Result<i64> {
        let begun = Instant::now();
        let timeout = Duration::from_millis(timeout_ms.max(0) as u64);
        let reached = h.with(|world| {
            world.wait_until(timeout, |world| {
                let live =
                    (0..world.entries.len()).filter(|at| world.entries[*at].process.is_some());
                let version_at = |at| world.status(at)["config_version"].as_i64().unwrap_or(0);
                live.map(version_at).all(|at| at >= version)
            })
        })?;
        Ok(if reached { begun.elapsed().as_millis() as i64 } else { -1 })
    });
}
