//! `hollowbarrow demo`

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command};
use hollowbarrow_daemon::{Daemon, DaemonListeners};
use hollowbarrow_schema::settings::read_settings;
use hollowbarrow_schema::{NodeId, Settings, ZoneId, keys};
use hollowbarrow_telemetry::start_logging;
use hollowbarrow_testkit::{FleetConfig, StandinFleet, expected_token};
use serde_json::{Value, json};

use super::{CommandResult, text};

/// Keys that are valid in the demo only.
const CALLER_KEY: &str = "demo-caller-key";
const OPERATOR_KEY: &str = "demo-operator-key";
const MODEL: &str = "lakeside-70b";
const GROUP: &str = "drafts";
/// Time limit of one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const TOKENS: u32 = 40;

pub(crate) fn command() -> Command {
    Command::new("demo")
        .about("Runs the system in one process, with stand-in upstreams and no settings files")
        .after_help("Examples:\n  hollowbarrow demo\n  hollowbarrow demo --serve")
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Keep running, and print commands to try"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .env("HOLLOWBARROW_LOG")
                .default_value("off")
                .help("Log levels, such as info"),
        )
}

pub(crate) fn run(arguments: &ArgMatches) -> CommandResult {
    let logger = start_logging(text(arguments, "log")).context("cannot start logging")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let data = tempfile::tempdir().context("cannot create a data folder")?;
    let entered = runtime.enter();
    let fleet = StandinFleet::start(&FleetConfig::new(&[ZoneId::from("a")], 2, 4));
    let settings = demo_settings(&fleet.platform_url(), data.path())?;
    let listeners = DaemonListeners::bind(&settings).context("cannot start")?;
    let daemon = Daemon::start(settings, listeners).context("cannot start")?;
    drop(entered);
    let demo = DemoRun {
        fleet,
        callers: format!("http://{}", daemon.callers()),
        operators: format!("http://{}", daemon.operators()),
        started: Instant::now(),
    };
    demo.run_steps()?;
    if arguments.get_flag("serve") {
        demo.print_commands();
        runtime.block_on(std::future::pending::<()>());
    }
    runtime.block_on(daemon.stop());
    logger.flush();
    Ok(())
}

fn demo_settings(platform: &str, data: &std::path::Path) -> Result<Settings> {
    let text = json!({
        "id": "demo", "zone": "a",
        "listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "data": data.to_string_lossy(),
        "peers": [{"id": "demo", "zone": "a", "address": "127.0.0.1:1", "voter": true}],
        "cluster_keys": ["demo-cluster-key"],
        "platform": platform,
        "organisations": [{"id": "campers", "keys": [{"sha256": keys::hash_key(CALLER_KEY)}]}],
        "operators": [{"name": "demo", "keys": [{"sha256": keys::hash_key(OPERATOR_KEY)}]}],
        "routes": [
            {"path": "/pitches", "service": "booking", "urgency": "urgent"},
            {"path": "/holds", "service": "booking", "urgency": "urgent", "not_repeatable": true}],
        "timing": {"probe_ms": 100, "digest_ms": 100, "lease_ms": 600, "election_ms": 150,
            "authority_ms": 400, "platform_ms": 300, "balancer_ms": 0, "drain_ms": 5000},
    });
    read_settings("the demo's settings", &text.to_string())
        .context("cannot read the demo's settings")
}

struct DemoRun {
    fleet: StandinFleet,
    callers: String,
    operators: String,
    started: Instant,
}

impl DemoRun {
    fn print_step(&self, text: &str) {
        println!("[{:6.2} s] {text}", self.started.elapsed().as_secs_f64());
    }

    fn run_steps(&self) -> Result<()> {
        self.print_step(
            "started an entry node, 8 model workers in 2 fabric domains and a booking service",
        );
        self.label_and_apply()?;
        let formed = self.wait_until("the group serves", |demo| demo.serving() == Some(1))?;
        self.print_step(&format!("group {GROUP} serves after {:.2} s", formed.as_secs_f64()));
        let first = self.stream_chat("Which pitch suits a caravan?")?;
        let free = self.call("GET", "/pitches/7", None)?;
        ensure!(free["free"] == true, "the pitch is not free: {free}");
        self.print_step(&format!("plain call: pitch 7 is free: {free}"));
        self.hold_twice()?;
        let (down, repair) = self.kill_member()?;
        let again = self.stream_chat("Does it take dogs?")?;
        println!();
        println!(
            "form_s={:.2} first_token_ms={:.1} first_token_after_repair_ms={:.1} noticed_s={:.2} \
             repaired_s={:.2} holds_run=1",
            formed.as_secs_f64(),
            first.as_secs_f64() * 1000.0,
            again.as_secs_f64() * 1000.0,
            down.as_secs_f64(),
            repair.as_secs_f64()
        );
        Ok(())
    }

    fn label_and_apply(&self) -> Result<()> {
        for node in self.fleet.model_nodes() {
            let labels =
                json!({"change_labels": {"node": *node, "set": {"given": "hollowbarrow"}}});
            self.change(&format!("label {}", *node), &labels)?;
        }
        self.print_step("labelled the nodes given=hollowbarrow");
        let group = json!({"put_group": {
            "name": GROUP, "model": MODEL, "version": "1", "size": 3, "count": 1,
            "selector": {"match_labels": {"given": "hollowbarrow"}}}});
        self.change("put group", &group)?;
        self.print_step(&format!(
            "applied group {GROUP}: model {MODEL}, 3 nodes in one fabric domain"
        ));
        Ok(())
    }

    fn change(&self, id: &str, command: &Value) -> Result<()> {
        let change = json!({"id": id, "author": "demo", "command": command});
        let started_at = Instant::now();
        loop {
            let answer = attohttpc::post(format!("{}/changes", self.operators))
                .bearer_auth(OPERATOR_KEY)
                .text(change.to_string())
                .send()?;
            let status = answer.status();
            let text = answer.text()?;
            if status.is_success() {
                return Ok(());
            }
            // There is no leader right after the start. The change has an id and can be sent again.
            if status.as_u16() != 503 || started_at.elapsed() > STEP_TIMEOUT {
                bail!("the change was refused with {status}: {text}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn serving(&self) -> Option<u64> {
        let answer = attohttpc::get(format!("{}/groups", self.operators))
            .bearer_auth(OPERATOR_KEY)
            .send()
            .ok()?;
        let groups: Value = serde_json::from_str(&answer.text().ok()?).ok()?;
        groups[0]["serving"].as_u64()
    }

    fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<Duration> {
        let started_at = Instant::now();
        while !condition(self) {
            ensure!(started_at.elapsed() < STEP_TIMEOUT, "timed out waiting until {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(started_at.elapsed())
    }

    /// Streams a chat, checks every token and returns the time to the first one.
    fn stream_chat(&self, question: &str) -> Result<Duration> {
        let messages = json!([{"role": "user", "content": question}]);
        let body = json!({
            "model": MODEL, "stream": true, "max_tokens": TOKENS, "messages": messages});
        let started_at = Instant::now();
        let answer = attohttpc::post(format!("{}/v1/chat/completions", self.callers))
            .bearer_auth(CALLER_KEY)
            .text(body.to_string())
            .send()?;
        let (status, _, reader) = answer.split();
        ensure!(status.is_success(), "the chat was refused with {status}");
        let mut first = None;
        let mut tokens = 0;
        let mut done = false;
        for line in BufReader::new(reader).lines() {
            let line = line?;
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                done = true;
                break;
            }
            let chunk: Value = serde_json::from_str(data)?;
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                first.get_or_insert_with(|| started_at.elapsed());
                let expected = expected_token(&messages.to_string(), tokens);
                ensure!(text == expected, "token {tokens} is {text:?}, not {expected:?}");
                tokens += 1;
            }
        }
        ensure!(
            done && tokens == TOKENS,
            "received {tokens} of {TOKENS} tokens, end of stream: {done}"
        );
        let first = first.unwrap_or_default();
        self.print_step(&format!(
            "streamed all {tokens} tokens in order, the first after {:.1} ms",
            first.as_secs_f64() * 1000.0
        ));
        Ok(first)
    }

    fn call(&self, method: &str, path: &str, key: Option<&str>) -> Result<Value> {
        let url = format!("{}{path}", self.callers);
        let request = if method == "GET" { attohttpc::get(url) } else { attohttpc::post(url) };
        let mut request = request.bearer_auth(CALLER_KEY);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let answer = request.text("{}").send()?;
        let status = answer.status();
        let text = answer.text()?;
        ensure!(status.is_success(), "{method} {path} was refused with {status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    fn hold_twice(&self) -> Result<()> {
        let hold = self.call("POST", "/holds/7", Some("family-12"))?;
        self.print_step(&format!("held pitch 7, not repeatable: {hold}"));
        let again = self.call("POST", "/holds/7", Some("family-12"))?;
        ensure!(hold == again, "the repeated hold got a different answer: {again}");
        let runs = self.fleet.history().counts().get("family-12").copied().unwrap_or(0);
        ensure!(runs == 1, "the hold ran {runs} times");
        self.print_step("sent the same hold again: the first answer was returned, and it ran once");
        Ok(())
    }

    /// Kills a member; returns the times until the group stops serving and until it serves again.
    fn kill_member(&self) -> Result<(Duration, Duration)> {
        let member = self.find_member()?;
        let killed = Instant::now();
        self.fleet.kill(&member);
        self.print_step(&format!("killed member {}", *member));
        let down = self.wait_until("the group stops serving", |demo| demo.serving() == Some(0))?;
        self.print_step(&format!(
            "the group stopped serving {:.2} s after the kill",
            down.as_secs_f64()
        ));
        self.wait_until("the group serves again", |demo| demo.serving() == Some(1))?;
        let repair = killed.elapsed();
        self.print_step(&format!(
            "the group serves again, with a spare node, {:.2} s after the kill",
            repair.as_secs_f64()
        ));
        Ok((down, repair))
    }

    fn find_member(&self) -> Result<NodeId> {
        let answer =
            attohttpc::get(format!("{}/nodes", self.operators)).bearer_auth(OPERATOR_KEY).send()?;
        let nodes: Vec<BTreeMap<String, Value>> = serde_json::from_str(&answer.text()?)?;
        let member =
            nodes.iter().rev().find(|node| node.get("group").is_some_and(Value::is_string));
        let name =
            member.and_then(|node| node["node"].as_str()).context("no node is in a group")?;
        Ok(NodeId::from(name))
    }

    fn print_commands(&self) {
        println!();
        println!("The demo runs until you press Ctrl-C. Commands to try:");
        println!(
            "  curl -N {}/v1/chat/completions -H 'authorization: Bearer {CALLER_KEY}' \\",
            self.callers
        );
        println!(
            "    -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
        );
        println!("  curl {}/pitches/7 -H 'authorization: Bearer {CALLER_KEY}'", self.callers);
        println!(
            "  curl -X POST {}/holds/7 -H 'authorization: Bearer {CALLER_KEY}' -H 'idempotency-key: me-1'",
            self.callers
        );
        println!("  hollowbarrow explain {GROUP} --server {} --key {OPERATOR_KEY}", self.operators);
    }
}
