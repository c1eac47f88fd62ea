//! A heartbeat that the store carries out late brings a replica back that has said that it leaves.

include!("../standin-2/world.rs");

const ZONES: [&str; 3] = ["gijon", "santander", "ferrol"];
const ROUNDS: usize = 6;
/// `DrainMs`.
const DRAIN_MS: u64 = 2_000;
/// `HeartbeatMs`.
const BEAT_MS: u64 = 1_200;
/// How long after the heartbeat without an answer the replica says that it leaves: the store has been without disruption for
/// longer than `StableWindowMs` by then.
const LEAVES_MS: u64 = 3_650;
/// How long after it was sent the store carries out that heartbeat. The pages have 1 to 6 s.
const LATE_MS: u64 = 4_950;
/// How long after it the replica ends: it serves for `DrainMs` after the acknowledgement, and a little longer.
const ENDS_MS: u64 = 6_400;
/// The pause between two that leave.
const PAUSE_MS: u64 = 4_000;

fn config() -> String {
    let limits = r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;
    let route = r#"{"Name":"chart-tile","Host":"a.example","Prefix":"/tile/","Kind":"unsafe","TimeoutMs":2500,"TargetLatencyMs":150,"Priority":2,"Service":"carta","MaxAttempts":1}"#;
    let service =
        r#"{"Name":"carta","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}"#;
    format!(r#"{{"Version":7,"Routes":[{route}],"Services":[{service}],{limits}}}"#)
}

fn main() {
    let dir = std::env::args().nth(1).expect("the folder of the case");
    let work = std::env::args().nth(2).expect("a temporary folder");
    let bin = std::env::args().nth(3).expect("the program");
    let rec = Rec::new(&format!("{dir}/record.txt"));
    let store = Store::start(&rec);
    store.put("op", "config", &config());
    let replicas: Vec<Replica> = (0..9)
        .map(|n| Replica::start(&rec, &store, &format!("i-carta{n}"), "carta", ZONES[n % 3], 40))
        .collect();
    let zones = ZONES.iter().map(|zone| zone.to_string()).collect();
    let site = Site {
        dir: work,
        bin,
        zones,
        extra: String::new(),
    };
    let instances: Vec<Inst> = ZONES
        .iter()
        .map(|zone| site.start(&format!("front-{zone}-1"), zone, store.addr, true, true))
        .collect();
    thread::sleep(ms(10_000));
    let is_ready = instances.iter().all(Inst::ready);
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let served = Arc::new(AtomicUsize::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(1));
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for instance in &instances {
        for _ in 0..3 {
            let (to, rec, sent, served) = (instance.callers, rec.clone(), sent.clone(), served.clone());
            let (stop, numbers, unanswered) = (stop.clone(), numbers.clone(), unanswered.clone());
            callers.push(thread::spawn(move || {
                while !stop.load(SeqCst) {
                    let id = format!("q{:06}", numbers.fetch_add(1, SeqCst));
                    let head = format!("POST /tile/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n");
                    let at = rec.now();
                    sent.lock().unwrap().insert(id.clone(), at);
                    let text = match call(to, &head, b"tile", ms(3_000)) {
                        Ok(answer) => format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)),
                        Err(error) => error.to_string(),
                    };
                    served.fetch_add(usize::from(text.starts_with("200")), SeqCst);
                    rec.say(&format!("{id} sent at {at:.3} to {to}: {text}"));
                    if !text.starts_with("200") {
                        unanswered.lock().unwrap().push(id);
                    }
                    thread::sleep(ms(15));
                }
            }));
        }
    }
    let (mut late, mut late_ids) = (0, Vec::new());
    for leaver in replicas.iter().take(ROUNDS) {
        // From now on its heartbeats are written here.
        leaver.listed.store(false, SeqCst);
        let began = Instant::now();
        let wait_until = |at: u64| thread::sleep(ms(at).saturating_sub(began.elapsed()));
        let beat = |what: &str| {
            store.put("servers", &leaver.id, &leaver.next_entry());
            rec.say(&format!("{}: {what}", leaver.id));
        };
        let lost = trouble().then(|| leaver.next_entry());
        if lost.is_some() {
            rec.say(&format!(
                "{}: a heartbeat gets no answer: {}",
                leaver.id,
                lost.as_deref().unwrap_or_default()
            ));
        }
        for n in 1..=LEAVES_MS / BEAT_MS {
            wait_until(n * BEAT_MS);
            beat("heartbeat, ready");
        }
        wait_until(LEAVES_MS);
        *leaver.state.lock().unwrap() = "draining";
        beat("draining, acknowledged by the store");
        let acknowledged = rec.now();
        let mut next = LEAVES_MS + BEAT_MS;
        while next < ENDS_MS {
            wait_until(next.min(LATE_MS));
            if next > LATE_MS - BEAT_MS && next <= LATE_MS {
                beat("heartbeat, draining");
                next += BEAT_MS;
                wait_until(LATE_MS);
                if let Some(lost) = &lost {
                    store.put("servers", &leaver.id, lost);
                    rec.say(&format!(
                        "{}: the store carries out the heartbeat that it did not answer",
                        leaver.id
                    ));
                }
            }
            wait_until(next);
            beat("heartbeat, draining");
            next += BEAT_MS;
        }
        wait_until(ENDS_MS);
        store.drop_row("servers", &leaver.id);
        leaver.end();
        rec.say(&format!("{} ends", leaver.id));
        let sent = sent.lock().unwrap();
        let from = acknowledged + DRAIN_MS as f64 / 1e3;
        for (at, id) in leaver.runs.lock().unwrap().iter() {
            if sent.get(id).is_some_and(|sent| *sent > from) {
                late += 1;
                late_ids.push(id.clone());
                rec.say(&format!(
                    "BROKEN: {id} reached {} at {at:.3}, {:.3} s after it was draining",
                    leaver.id,
                    at - acknowledged
                ));
            }
        }
        drop(sent);
        thread::sleep(ms(PAUSE_MS));
    }
    stop.store(true, SeqCst);
    callers.into_iter().for_each(|caller| _ = caller.join());
    let served = served.load(SeqCst);
    instances.into_iter().for_each(Inst::stop);
    let lost = unanswered
        .lock()
        .unwrap()
        .iter()
        .filter(|id| late_ids.contains(id))
        .count();
    let end = format!("{late} requests reached a replica that was draining, later than the bound, from machines in touch; {lost} of them were lost with it; {served} served");
    rec.say(&end);
    println!("{end}");
    std::process::exit(match (is_ready && served > 1_000, late) {
        (false, _) => 2,
        (true, 0) => 0,
        (true, _) => 1,
    });
}
