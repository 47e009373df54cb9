//! Starts the project's program with the command of the deploy file, and signals it.

use std::fs::File;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crate::http;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    metrics_port: u16,
    child: Option<Child>,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Gateway {
    /// Starts gateway number `number` in `folder`, with a store at `store` and further settings.
    pub fn start(folder: &Path, number: u8, store: SocketAddr, more: &str) -> Gateway {
        let ip = format!("127.81.{}.{number}", std::process::id() % 200 + 1);
        let zone = ["mixco", "villa", "antigua"][usize::from(number) % 3];
        let name = format!("front-{zone}-{number}");
        let ports: Vec<u16> = (0..5).map(|_| free_port(&ip)).collect();
        let text = format!(
            "node={name}\nrole=gateway\nmachineClass=front\nserves=front,directory\nip={ip}\n\
             zone={zone}\nregion=centro\nzones.mixco=centro\nzones.villa=centro\n\
             zones.antigua=centro\nlisten.front={ip}:{}\nlisten.readyAddr={ip}:{}\n\
             listen.directory={ip}:{}\ninternalPorts=21734,21749\nbootstrap=true\n\
             discovery=platform\nentry=directory\nheartbeatMs=1200\nplatform.address={store}\n\
             platform.form=kv\nplatform.ttlMinMs=1000\nplatform.valueBytes=1048576\n\
             bounds.stableWindowMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\n\
             bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.strictRevoke=true\n\
             bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
             bounds.budgetExtra=58\nbounds.ttl_max_s=5\n{more}",
            ports[0], ports[1], ports[2]
        );
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings file");
        let mut gateway = Gateway {
            front: format!("{ip}:{}", ports[0]).parse().expect("an address"),
            ready: format!("{ip}:{}", ports[1]).parse().expect("an address"),
            log: folder.join(format!("{name}.log")),
            metrics_port: ports[3],
            name,
            settings,
            child: None,
        };
        gateway.run();
        gateway
    }

    /// Starts the process, again if it has ended.
    pub fn run(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let root = std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT");
        let mut command = Command::new(Path::new(&root).join("target/release/laburnumwheel"));
        command.args(["platform", "--metrics-port", &self.metrics_port.to_string()]);
        command.current_dir(root).env_clear().env("LABURNUMWHEEL_CONFIG", &self.settings);
        command.stdout(log.try_clone().expect("a log file")).stderr(log);
        self.child = Some(command.spawn().expect("the program"));
    }

    /// Starts the process again, no longer as part of the first start of the whole system.
    pub fn run_again(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings file");
        let text = text.replace("bootstrap=true", "bootstrap=false");
        std::fs::write(&self.settings, text).expect("the settings file");
        self.run();
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn end(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Resident memory in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let ask = || {
            let stream =
                TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
            let mut writer = stream.try_clone().ok()?;
            writer
                .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .ok()?;
            http::read(&mut BufReader::new(stream)).ok()?
        };
        ask().is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateway is ready; `false` if it is not within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}
