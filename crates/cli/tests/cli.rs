//! The program as a user runs it.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use reedring_test_processes::{Launch, Signal};

/// No wait in a test is longer; one that is has failed.
const LONG: Duration = Duration::from_secs(20);

fn reedring(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reedring"));
    command
        .args(args)
        .env_remove("REEDRING_CONTACT")
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

struct Running(Child, String);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a program and waits for its line `contact: …`.
fn running(args: &[&str]) -> Running {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reedring"));
    let mut child = command.args(args).stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let contact = lines
        .by_ref()
        .find_map(|line| line.unwrap().strip_prefix("contact: ").map(str::to_owned));
    // What comes later is read and thrown away, so that the program never waits for its reader.
    std::thread::spawn(move || lines.for_each(drop));
    Running(child, contact.expect("a contact"))
}

fn deploy(file: &str) -> String {
    format!("{}/../../deploy/{file}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn a_job_goes_from_the_command_line_to_its_exit_status() {
    let local = running(&["local", "--nodes", "3"]);
    let at = |args: &[&str]| {
        let (command, rest) = args.split_first().unwrap();
        reedring(&[&[*command, "--contact", &local.1], rest].concat())
    };
    let submitted = at(&["submit", "exit", "3"]);
    assert_eq!(
        submitted.status.code(),
        Some(3),
        "{}",
        text(&submitted.stderr)
    );
    assert!(text(&submitted.stdout).contains("exited with status 3"));
    let nodes = text(&at(&["nodes"]).stdout);
    assert_eq!(
        nodes.lines().filter(|line| line.contains("ready")).count(),
        3,
        "{nodes}"
    );
    assert!(at(&["drain", "node-1"]).status.success());
    assert!(text(&at(&["nodes"]).stdout).contains("ready, by hand"));
    assert!(at(&["undrain", "node-1"]).status.success());
    let wrong = at(&["drain", "node-9"]);
    assert!(
        text(&wrong.stderr).contains("the list has no node `node-9`"),
        "{}",
        text(&wrong.stderr)
    );
    let detached = text(&at(&["submit", "--detach", "sleep", "30"]).stdout);
    let job = detached.lines().next().unwrap();
    assert!(text(&at(&["job", job]).stdout).contains("session"));
    assert!(text(&at(&["jobs", "--live"]).stdout).contains(job));
    let never = at(&[
        "submit",
        "--native",
        "constraint='require hall = nowhere'",
        "work",
    ]);
    assert_eq!(never.status.code(), Some(125));
    assert!(
        text(&never.stdout).contains("removes 3 of 3"),
        "{}",
        text(&never.stdout)
    );
    let explained = reedring(&[
        "constraint",
        "explain",
        "require hall = hall-a",
        "--contact",
        &local.1,
    ]);
    assert!(
        text(&explained.stdout).contains("of 3 nodes are open"),
        "{}",
        text(&explained.stdout)
    );
}

#[test]
fn settings_are_checked_and_constraints_explained_offline() {
    let example = deploy("reedring.toml");
    let checked = reedring(&["check", &example]);
    assert!(checked.status.success(), "{}", text(&checked.stderr));
    assert!(text(&checked.stdout).contains("3 nodes"));
    let dir = tempfile::tempdir().unwrap();
    let wrong = dir.path().join("wrong.toml");
    std::fs::write(
        &wrong,
        std::fs::read_to_string(&example)
            .unwrap()
            .replace("max_attempts = 4", "max_attempts = 0"),
    )
    .unwrap();
    let told = reedring(&["check", wrong.to_str().unwrap()]);
    assert_eq!(told.status.code(), Some(1));
    assert!(
        text(&told.stderr).contains("site.max_attempts: 0 is too few"),
        "{}",
        text(&told.stderr)
    );
    let explain = |text: &str| reedring(&["constraint", "explain", text, "--config", &example]);
    assert!(
        text(&explain("require attr.gpus >= 2 and attr.kernel > v6").stdout)
            .contains("open: node-2")
    );
    assert!(text(&explain("use apart-by-hall").stdout).contains("open: node-1, node-2"));
    assert!(text(&explain("require kind = node-65").stderr).contains("did you mean `node-64`?"));
    assert!(text(&checked.stdout).contains("voters: every node\n"));
    // Two control machines: said to vote, advised against, and open to no task.
    let marked = dir.path().join("marked.toml");
    std::fs::copy(&example, &marked).unwrap();
    let nodes = std::fs::read_to_string(deploy("nodes.toml")).unwrap();
    let control = |rack: &str| format!("control = true\n{rack}");
    let nodes = nodes.replace("rack = \"a1\"", &control("rack = \"a1\""));
    let nodes = nodes.replace("rack = \"c1\"", &control("rack = \"c1\""));
    std::fs::write(dir.path().join("nodes.toml"), nodes).unwrap();
    let marked = marked.to_str().unwrap();
    let told = text(&reedring(&["check", marked]).stdout);
    assert!(
        told.contains("voters: node-1, node-3; no tasks are placed there\n"),
        "{told}"
    );
    assert!(
        told.contains("advice: 2 voters bear the loss of 0, as 1 do; mark an odd number"),
        "{told}"
    );
    let explained = reedring(&[
        "constraint",
        "explain",
        "require hall = hall-b",
        "--config",
        marked,
    ]);
    assert!(
        text(&explained.stdout).contains("open: node-2"),
        "{}",
        text(&explained.stdout)
    );
    assert!(
        !text(&explained.stdout).contains("node-3"),
        "{}",
        text(&explained.stdout)
    );
    let check = reedring(&["constraint", "check", "hall=a;prefer near copies by rack"]);
    assert_eq!(
        text(&check.stdout),
        "require hall = \"a\"\nprefer near copies by rack\n"
    );
}

#[test]
fn a_placer_and_its_nodes_run_as_programs_of_their_own_over_a_unix_socket() {
    let dir = tempfile::tempdir().unwrap();
    let at = |name: &str| dir.path().join(name).to_str().unwrap().to_owned();
    std::fs::write(at("fleet.toml"), "[[node]]\nname = \"one\"\n").unwrap();
    let mut nodes = Command::new(env!("CARGO_BIN_EXE_reedring"));
    let mut nodes = nodes
        .args(["standin", "--config", &at("fleet.toml")])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(nodes.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address = line.trim().strip_prefix("one: ").unwrap().to_owned();
    let nodes = Running(nodes, address.clone());
    std::fs::write(
        at("nodes.toml"),
        format!("[[node]]\nname = \"one\"\naddress = \"{address}\"\n"),
    )
    .unwrap();
    let settings = format!(
        "[placer]\nname = \"p\"\nlisten = \"unix:{}\"\nnodes = \"nodes.toml\"\ntrace = \"p.trace\"\n\
         [[class]]\nname = \"c\"\nrepeat = \"unsafe\"\naim = \"1s\"\ngive_up = \"8s\"\n",
        at("p.sock")
    );
    std::fs::write(at("p.toml"), settings).unwrap();
    let placer = running(&["serve", "--config", &at("p.toml")]);
    let submitted = reedring(&["submit", "--contact", &placer.1, "exit", "4"]);
    assert_eq!(
        submitted.status.code(),
        Some(4),
        "{}",
        text(&submitted.stderr)
    );
    drop(nodes);
    // Asked to end, it leaves a whole trace.
    let asked = Command::new("kill")
        .arg(placer.0.id().to_string())
        .status()
        .unwrap();
    assert!(asked.success());
    let mut placer = placer;
    assert!(placer.0.wait().unwrap().success());
    let audited = reedring(&["audit", &at("p.trace")]);
    assert!(
        text(&audited.stdout).contains("1 taken, 1 placed") && audited.status.success(),
        "{}",
        text(&audited.stdout)
    );
}

/// The full run is `reedring crash-test`; a placer's files, and its owners' outcomes, outlive every SIGKILL.
#[test]
fn a_placer_process_that_is_killed_over_and_over_loses_and_doubles_nothing() {
    let kills = reedring(&["kills", "--count", "25", "--life", "120"]);
    assert!(
        kills.status.success(),
        "{}{}",
        text(&kills.stdout),
        text(&kills.stderr)
    );
}

#[test]
fn a_state_folder_is_shown_checked_and_moved_and_its_jobs_go_on() {
    let dir = tempfile::tempdir().unwrap();
    let path = |name: &str| dir.path().join(name).display().to_string();
    let local = running(&["local", "--nodes", "2", "--state-dir", &path("one")]);
    let submitted = reedring(&["submit", "--contact", &local.1, "--detach", "sleep", "60"]);
    let job = text(&submitted.stdout).lines().next().unwrap().to_owned();
    assert!(
        reedring(&["drain", "--contact", &local.1, "node-2"])
            .status
            .success()
    );
    let folder = format!("{}/placer-1.state", path("one"));
    let busy = reedring(&["state", "show", &folder]);
    assert!(
        text(&busy.stderr).contains("another placer keeps its state there"),
        "{}",
        text(&busy.stderr)
    );
    drop(local);
    let shown = text(&reedring(&["state", "show", &folder]).stdout);
    assert!(
        shown.contains("placer placer-1") && shown.contains("jobs: 1"),
        "{shown}"
    );
    assert!(shown.contains("drained by an operator: node-2"), "{shown}");
    assert!(reedring(&["state", "check", &folder]).status.success());
    let export = reedring(&["state", "export", &folder]);
    std::fs::write(path("export.json"), &export.stdout).unwrap();
    let moved = format!("{}/placer-1.state", path("two"));
    let import = reedring(&["state", "import", &moved, &path("export.json")]);
    assert!(import.status.success(), "{}", text(&import.stderr));
    assert_eq!(
        reedring(&["state", "export", &moved]).stdout,
        export.stdout,
        "it is the same state"
    );
    let again = reedring(&["state", "import", &moved, &path("export.json")]);
    assert!(
        text(&again.stderr).contains("there is a ledger in it already"),
        "{}",
        text(&again.stderr)
    );
    let none = reedring(&["state", "check", &path("nothing")]);
    assert!(
        text(&none.stderr).contains("there is no such folder"),
        "{}",
        text(&none.stderr)
    );
    // The moved state answers for the job: its nodes are other ones by now, so it is lost and placed again.
    let local = running(&["local", "--nodes", "2", "--state-dir", &path("two")]);
    let found = text(&reedring(&["job", "--contact", &local.1, &job]).stdout);
    assert!(found.contains(&job), "{found}");
    let nodes = text(&reedring(&["nodes", "--contact", &local.1]).stdout);
    assert!(nodes.contains("ready, by hand"), "{nodes}");
}

#[test]
fn the_platforms_placer_says_what_is_wrong_reads_again_and_ends_when_asked() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let config = path.to_str().unwrap();
    let listen = reedring_test_processes::free_address().unwrap();
    let good = serde_json::json!({"name": "n1", "listen": listen, "seed": "00000000000000aa",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "board": "127.0.0.1:1",
        "known": {"rev": 0, "notices": []}, "more": {"of": "what the platform may tell"},
        "settings": {"nInstances": 1, "classes": [{"name": "play", "effect": "free", "aimUs": 1, "more": 1}],
            "kinds": [], "discovery": "ask", "specifics": {"more": []}, "policyLimits": {}, "rules": {}}});
    let changed = |at: &str, value: serde_json::Value| {
        let mut config = good.clone();
        *config.pointer_mut(at).unwrap() = value;
        Some(config.to_string())
    };
    let none = serde_json::Value::Null;
    let mut lacking = good.clone();
    lacking["limits"].as_object_mut().unwrap().remove("sockets");
    for (content, words) in [
        (None, "name a file"),
        (Some("{".to_owned()), "line 1"),
        (Some("{}".to_owned()), "missing field `name`"),
        (Some(lacking.to_string()), "limits: missing field `sockets`"),
        (
            changed("/limits/sockets", 0.into()),
            "limits.sockets: 0 are too few",
        ),
        (
            changed("/limits/sockets", (-1).into()),
            "limits.sockets: invalid value",
        ),
        (
            changed("/settings/classes/0/effect", "twice".into()),
            "settings.classes[0].effect: unknown variant `twice`",
        ),
        (
            changed("/settings/classes/0/aimUs", none.clone()),
            "settings.classes[0].aimUs: invalid type",
        ),
        (
            changed("/settings/policyLimits", none),
            "settings.policyLimits: invalid type",
        ),
        (changed("/board", "nowhere".into()), "board: invalid"),
        (changed("/seed", "0".into()), "seed"),
    ] {
        if let Some(content) = content {
            std::fs::write(&path, content).unwrap();
        }
        let began = std::time::Instant::now();
        let wrong = reedring(&["platform", "--config", config]);
        assert_eq!(wrong.status.code(), Some(2));
        let said = text(&wrong.stderr);
        assert!(
            said.contains(words) && said.contains("config.json") && said.lines().count() == 1,
            "{said}"
        );
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "{words}: {:?}",
            began.elapsed()
        );
    }
    // What it does not know is passed by, and the rest holds.
    std::fs::write(&path, good.to_string()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_reedring"));
    let placer = Launch::new(program, "placer", &["platform", "--config", config])
        .start()
        .unwrap();
    let says = |line: &'static str| {
        placer
            .wait_line(0, line, LONG, |said| said.contains(line))
            .unwrap();
    };
    // Signals are answered from before it listens, and it polls discovery from after that.
    says("discovery_failed");
    std::fs::write(&path, "{").unwrap();
    placer.signal(Signal::HUP).unwrap();
    says("configuration_rejected");
    std::fs::write(&path, good.to_string()).unwrap();
    says("configuration_reloaded");
    assert_eq!(placer.terminate(LONG).unwrap().code(), Some(0));
}
