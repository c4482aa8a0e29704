//! Starts a stand-in or puts load on the tier. All of it is in the library.

use std::fs;
use std::net::SocketAddr;
use std::thread;

use eyre::bail;
use eyre::WrapErr;
use hemlockrouter_lab::store::Faults;
use hemlockrouter_lab::store::Store;
use hemlockrouter_lab::store::StoreOptions;
use hemlockrouter_lab::upstream::Behaviour;
use hemlockrouter_lab::upstream::Spec;
use hemlockrouter_lab::upstream::Upstream;
use lexopt::prelude::*;
use lexopt::Parser;

const HELP: &str = "\
Stand-ins for the platform and for upstreams, and a load tool.

Usage: hemlock-lab COMMAND [OPTIONS]

Commands:
  store     Key-value store and instance list
            --listen ADDR [--list-lag-ms N]
            PUT /lab/faults, GET and DELETE /lab/counts
  upstream  One upstream, or several from a JSON file
            --listen ADDR --name NAME [--slots N] [--cold-slots N] [--connections N]
            [--connect-ms N] [--serve-ms N] [--cold-ms N] [--seed N] [--warm]
            --file FILE: [{\"name\", \"listen\", ...}]
            PUT /lab/control, GET /lab/counts
  --help    This text

Each stand-in prints the addresses that it listens on, one a line, and runs until it is stopped.
";

fn main() -> eyre::Result<()> {
    env_logger::init();
    let mut args = Parser::from_env();
    match args.next()? {
        Some(Value(command)) => match command.string()?.as_str() {
            "store" => store(args),
            "upstream" => upstream(args),
            other => bail!("unknown command {other:?}; see hemlock-lab --help"),
        },
        Some(Short('h') | Long("help")) => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(other.unexpected().into()),
        None => bail!("a command is needed; see hemlock-lab --help"),
    }
}

fn store(mut args: Parser) -> eyre::Result<()> {
    let mut listen = None;
    let mut faults = Faults::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("listen") => listen = Some(args.value()?.parse()?),
            Long("list-lag-ms") => faults.list_lag_ms = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let listen = required(listen, "--listen")?;
    let store = Store::start(StoreOptions { listen, faults })?;
    println!("store {}", store.addr());
    run_until_stopped()
}

fn upstream(mut args: Parser) -> eyre::Result<()> {
    let mut file = None;
    let mut spec = Spec::new("", SocketAddr::from(([127, 0, 0, 1], 0)));
    while let Some(arg) = args.next()? {
        match arg {
            Long("file") => file = Some(args.value()?.string()?),
            Long("listen") => spec.listen = args.value()?.parse()?,
            Long("name") => spec.name = args.value()?.string()?,
            Long("slots") => spec.slots = args.value()?.parse()?,
            Long("cold-slots") => spec.cold_slots = args.value()?.parse()?,
            Long("connections") => spec.connections = args.value()?.parse()?,
            Long("connect-ms") => spec.connect_ms = args.value()?.parse()?,
            Long("serve-ms") => spec.serve_ms = args.value()?.parse()?,
            Long("cold-ms") => spec.cold_ms = args.value()?.parse()?,
            Long("seed") => spec.seed = args.value()?.parse()?,
            Long("warm") => spec.warm = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let specs = match file {
        Some(file) => {
            let text = fs::read_to_string(&file).wrap_err_with(|| format!("can't read {file}"))?;
            serde_json::from_str(&text).wrap_err_with(|| format!("{file} doesn't check"))?
        }
        None if spec.name.is_empty() => bail!("--name or --file is needed"),
        None => vec![spec],
    };
    let upstreams = Upstream::start_all(&specs, &Behaviour::default())?;
    for upstream in &upstreams {
        println!("{} {}", upstream.name(), upstream.addr());
    }
    run_until_stopped()
}

fn required<T>(value: Option<T>, option: &str) -> eyre::Result<T> {
    value.ok_or_else(|| eyre::eyre!("{option} is needed"))
}

fn run_until_stopped() -> ! {
    loop {
        thread::park();
    }
}
