//! Commands around the stand-ins: the demo, measurements and replays.

use std::process::ExitCode;

use gumdrop::Options;
use standins::demo;
use standins::limits;
use standins::measure;
use standins::planner;
use standins::platform;
use standins::replay;
use standins::soak;

/// Commands around the stand-ins of lovageridge.
#[derive(Debug, Options)]
struct CommandLine {
    /// print help
    help: bool,
    /// the command
    #[options(command)]
    command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
enum Command {
    /// run the Sohar sample on embedded stand-ins, with a burst of callers for a cold model
    Demo(demo::DemoOptions),
    /// compare ways of holding one rate over many instances
    Limits(limits::LimitsOptions),
    /// measure latency, throughput and memory of one entry
    Entry(measure::MeasureOptions),
    /// measure the cost of control against the size of the venture
    Control(measure::MeasureOptions),
    /// measure control at rest and added latency of a gateway on the users' platform
    Gateway(measure::MeasureOptions),
    /// measure what a lead's plan costs against workers, models and demand
    Planner(planner::PlannerOptions),
    /// replay keep-alive policies against baselines
    Replay(replay::ReplayOptions),
    /// harm a deployment of real processes at random and check the promises meanwhile
    Soak(soak::SoakOptions),
}

fn main() -> ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    let result = match line.command {
        Some(Command::Demo(options)) => demo::run(&options),
        Some(Command::Limits(options)) => limits::print(&options),
        Some(Command::Entry(options)) => measure::entry(&options),
        Some(Command::Control(options)) => measure::control(&options),
        Some(Command::Gateway(options)) => measure::binary(options.binary)
            .and_then(|binary| platform::measure::print_measurements(&binary)),
        Some(Command::Planner(options)) => planner::print(&options),
        Some(Command::Replay(options)) => replay::print(&options),
        Some(Command::Soak(options)) => soak::run_seeds(&options),
        None => {
            println!(
                "{}\n\n{}",
                CommandLine::usage(),
                CommandLine::command_list().unwrap_or_default()
            );
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error:#}");
            ExitCode::FAILURE
        }
    }
}
