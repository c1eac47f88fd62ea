//! The operators' table of a fleet.

use {
    super::{Fleet, wait_until},
    plat::{EditOrigin, EditOutcome, EditRequest, HttpPlatform, TableRepository},
    serde_json::Value,
    std::time::{Duration, SystemTime},
    table::read_csv,
};

/// Rows for the plan's model and plain service: urgent and patient model work, repeatable and not repeatable calls.
pub const TABLE: &str = "\
work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste
assist,redactor,sondeo,1,1,,,5s,1s,30s,yes,2,0.5
report,redactor,sondeo,5,1,,,,1s,60s,yes,2,0
single,redactor,sondeo,2,1,,,,1s,30s,no,0,0
confirm,carta,,0,1,,,1s,,5s,no,0,0
tile,carta,,0,1,,,1s,,5s,yes,2,0
";

impl Fleet {
    /// Applies a table at the platform, waits until it is in force at every entry instance and returns its version.
    pub async fn put_table(&self, csv: &str) -> u64 {
        let version = self.commit_table(csv).await;
        self.wait_version(version).await;
        version
    }

    /// Applies a table at the platform and returns its version.
    pub async fn commit_table(&self, csv: &str) -> u64 {
        let file = read_csv("table.csv", csv.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
        let platform = HttpPlatform::builder()
            .address(format!("http://{}", self.platform_address()))
            .build()
            .unwrap();
        let repository = TableRepository::new(platform);
        let snapshot = repository.snapshot().await.unwrap();
        let at = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let edit = EditRequest {
            base: table::FileBase {
                digest: None,
                version: snapshot.version(),
            },
            origin: EditOrigin {
                at,
                author: "test".into(),
                floor: 0,
                id: format!("test-{}", at.as_nanos()).into(),
            },
            rows: file.rows,
        };
        match repository.commit_edit(&edit).await.unwrap() {
            EditOutcome::Committed { version, .. } | EditOutcome::Unchanged { version } => version,
            EditOutcome::Conflict { conflicts, .. } => panic!("conflict: {conflicts:?}"),
        }
    }

    /// Waits until every entry instance has at least this version in force.
    pub async fn wait_version(&self, version: u64) {
        for entry in self.entry_names() {
            let what = format!("{entry} has version {version}");
            wait_until(&what, async || self.version(&entry).await >= version).await;
        }
    }

    /// The version in force at an entry instance; 0 when it does not answer.
    pub async fn version(&self, entry: &str) -> u64 {
        let Ok(reply) = self.admin(entry, "/table").try_send().await else {
            return 0;
        };
        reply.json::<Value>()["version"].as_u64().unwrap_or(0)
    }
}
