//! The stored list of entry hosts and the beacons sent after a restart.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use hub::Hub;
use hub::beacon;
use prost::Message;
use testutils::Layout;
use tokio::net::UdpSocket;
use wire::hub::Beacon;

const TIMEOUT: Duration = Duration::from_mins(1);

fn addresses(ports: &[u16]) -> BTreeSet<SocketAddr> {
    let address = |port: &u16| SocketAddr::from(([127, 0, 0, 1], *port));
    ports.iter().map(address).collect()
}

#[test]
fn test_beacon_list_round_trips_and_truncated_file_is_an_error() {
    let layout = Layout::new(1, 0).expect("a folder");
    let folder = &layout.hubs[0].data;
    fs::create_dir_all(folder).expect("made");
    assert!(beacon::read(folder).expect("none yet").is_empty());
    for list in [addresses(&[7, 8]), addresses(&[9])] {
        beacon::write(folder, &list).expect("written");
        assert_eq!(beacon::read(folder).expect("a list"), list);
    }
    let path = folder.join("entry-hosts");
    let bytes = fs::read(&path).expect("a file");
    fs::write(&path, &bytes[..bytes.len() / 2]).expect("written");
    assert!(beacon::read(folder).is_err());
}

/// An entry host that can't reach the seeds must learn of the hubs from one that knew it.
#[tokio::test]
async fn test_beacon_is_sent_to_entry_hosts_known_before_restart() {
    let layout = Layout::new(1, 0).expect("a folder");
    let settings = &layout.hubs[0];
    let log = telemetry::log::silent();
    let first = Hub::start(settings.clone(), log.clone()).await;
    first.expect("starts").stop().await;
    let entry = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    let address = entry.local_addr().expect("bound");
    beacon::write(&settings.data, &BTreeSet::from([address])).expect("written");
    let _hub = Hub::start(settings.clone(), log).await.expect("starts");
    let mut bytes = [0; 1_400];
    let received = tokio::time::timeout(TIMEOUT, entry.recv(&mut bytes)).await;
    let length = received.expect("sent").expect("received");
    let beacon = Beacon::decode(&bytes[..length]).expect("a beacon");
    let own = settings.hub_at(settings.address).to_string();
    assert_eq!(beacon.hubs, [own]);
}
