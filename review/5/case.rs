//! After an outage of the store, requests go on to replicas whose entries were removed before it.

include!("../standin-2/world.rs");

const ZONES: [&str; 3] = ["gijon", "santander", "ferrol"];
/// The outages, in ms. The site file has outages of the store of up to 6.6 s.
const OUTAGES: [u64; 6] = [4_300, 4_900, 5_500, 6_100, 5_200, 6_300];
/// `StableWindowMs`: this long after the end of an outage, machines without disruption are in touch.
const STABLE_MS: u64 = 3_000;
/// `DrainMs`.
const DRAIN_MS: u64 = 2_000;
/// How long after the end of the outage the replica that left goes on serving.
const LINGER_MS: u64 = 3_450;

fn config() -> String {
    let limits = r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;
    let route = r#"{"Name":"chart-tile","Host":"a.example","Prefix":"/tile/","Kind":"unsafe","TimeoutMs":2500,"TargetLatencyMs":150,"Priority":2,"Service":"carta","MaxAttempts":1}"#;
    let service =
        r#"{"Name":"carta","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}"#;
    format!(r#"{{"Version":7,"Routes":[{route}],"Services":[{service}],{limits}}}"#)
}

/// One answer: when its request was sent, how long before the end of the run, and what came.
struct Answer {
    sent: f64,
    text: String,
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
    let mut proxies = Vec::new();
    let mut instances = Vec::new();
    for zone in ZONES {
        let name = format!("front-{zone}-1");
        let proxy = Proxy::start(store.addr, &rec, &name);
        instances.push(site.start(&name, zone, proxy.addr, true, true));
        proxies.push(proxy);
    }
    thread::sleep(ms(10_000));
    let is_ready = instances.iter().all(Inst::ready);
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(1));
    let mut callers = Vec::new();
    for instance in &instances {
        for _ in 0..3 {
            let (to, rec) = (instance.callers, rec.clone());
            let (answers, stop, numbers) = (answers.clone(), stop.clone(), numbers.clone());
            callers.push(thread::spawn(move || {
                while !stop.load(SeqCst) {
                    let id = format!("q{:06}", numbers.fetch_add(1, SeqCst));
                    let head = format!("POST /tile/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n");
                    let sent = rec.now();
                    let answer = call(to, &head, b"tile", ms(3_000));
                    let text = match answer {
                        Ok(answer) => format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)),
                        Err(error) => error.to_string(),
                    };
                    rec.say(&format!("{id} sent at {sent:.3} to {to}: {text}"));
                    answers.lock().unwrap().push(Answer { sent, text });
                    thread::sleep(ms(15));
                }
            }));
        }
    }
    let (mut late, mut lost) = (0, 0);
    for (number, outage) in OUTAGES.into_iter().enumerate() {
        let leaver = &replicas[number];
        // It never says that it drains: its entry is removed, right after a reading of the list.
        store.wait_read("servers");
        thread::sleep(ms(30));
        leaver.listed.store(false, SeqCst);
        store.drop_row("servers", &leaver.id);
        let acknowledged = rec.now();
        rec.say(&format!("the store acknowledges that {} is gone", leaver.id));
        thread::sleep(ms(100));
        if trouble() {
            store.down.store(true, SeqCst);
            proxies.iter().for_each(|proxy| proxy.mode.store(1, SeqCst));
            rec.say(&format!("the store is silent for {outage} ms"));
        }
        thread::sleep(ms(outage));
        if trouble() {
            for proxy in &proxies {
                // What was sent into the outage is lost with its connection.
                proxy.silent_below.store(proxy.next.load(SeqCst), SeqCst);
                proxy.mode.store(0, SeqCst);
            }
            store.down.store(false, SeqCst);
            rec.say("the store answers again");
        }
        let back = rec.now();
        thread::sleep(ms(LINGER_MS));
        leaver.end();
        rec.say(&format!("{} ends", leaver.id));
        thread::sleep(ms(3_000));
        // In touch, and later than the bound after the acknowledgement, when their callers sent them.
        let from = match trouble() {
            true => (back + STABLE_MS as f64 / 1e3).max(acknowledged + DRAIN_MS as f64 / 1e3),
            false => acknowledged + DRAIN_MS as f64 / 1e3,
        };
        let sent: HashMap<String, f64> = {
            let text = std::fs::read_to_string(format!("{dir}/record.txt")).unwrap_or_default();
            let lines = text.lines().filter_map(|line| line.trim().split_once(' '));
            let lines = lines.filter_map(|(_, line)| line.trim().split_once(" sent at "));
            lines
                .filter_map(|(id, rest)| Some((id.to_string(), rest.split(' ').next()?.parse().ok()?)))
                .collect()
        };
        let runs = leaver.runs.lock().unwrap().clone();
        let late_runs: Vec<_> = runs
            .iter()
            .filter(|(_, id)| sent.get(id).is_some_and(|sent| *sent > from))
            .collect();
        for (at, id) in &late_runs {
            let gone = at - acknowledged;
            rec.say(&format!("BROKEN: {id} reached {} at {at:.3}, {gone:.3} s after it was gone, {:.3} s after the store was back", leaver.id, at - back));
        }
        late += late_runs.len();
        let answers = answers.lock().unwrap();
        let losses = answers
            .iter()
            .filter(|answer| answer.sent > from && answer.sent < back + 4.0);
        lost += losses.filter(|answer| !answer.text.starts_with("200")).count();
    }
    stop.store(true, SeqCst);
    callers.into_iter().for_each(|caller| _ = caller.join());
    let served = answers
        .lock()
        .unwrap()
        .iter()
        .filter(|answer| answer.text.starts_with("200"))
        .count();
    instances.into_iter().for_each(Inst::stop);
    let end = format!("{late} requests reached a replica that was gone, from machines in touch; {lost} of the requests sent meanwhile were not answered with 200; {served} served");
    rec.say(&end);
    println!("{end}");
    std::process::exit(match (is_ready && served > 1_000, late) {
        (false, _) => 2,
        (true, 0) => 0,
        (true, _) => 1,
    });
}
