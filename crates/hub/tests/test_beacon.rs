//! A hub that makes itself known after a restart.

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

const PATIENCE: Duration = Duration::from_mins(1);

fn places(ports: &[u16]) -> BTreeSet<SocketAddr> {
    let place = |port: &u16| SocketAddr::from(([127, 0, 0, 1], *port));
    ports.iter().map(place).collect()
}

#[test]
fn test_beacon_list_is_kept_whole_or_not_at_all() {
    let layout = Layout::new(1, 0).expect("a folder");
    let folder = &layout.hubs[0].data;
    fs::create_dir_all(folder).expect("made");
    assert!(beacon::read(folder).expect("none yet").is_empty());
    for list in [places(&[7, 8]), places(&[9])] {
        beacon::write(folder, &list).expect("written");
        assert_eq!(beacon::read(folder).expect("a list"), list);
    }
    let path = folder.join("entry-hosts");
    let bytes = fs::read(&path).expect("a file");
    fs::write(&path, &bytes[..bytes.len() / 2]).expect("written");
    assert!(beacon::read(folder).is_err());
}

/// An entry host that knows no hub learns of the group from one that knew it before.
#[tokio::test]
async fn test_beacon_is_sent_to_entry_hosts_of_before() {
    let layout = Layout::new(1, 0).expect("a folder");
    let settings = &layout.hubs[0];
    let log = telemetry::log::silent();
    let first = Hub::start(settings.clone(), log.clone()).await;
    first.expect("starts").stop().await;
    let entry = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    let place = entry.local_addr().expect("bound");
    beacon::write(&settings.data, &BTreeSet::from([place])).expect("written");
    let _hub = Hub::start(settings.clone(), log).await.expect("starts");
    let mut bytes = [0; 1_400];
    let received = tokio::time::timeout(PATIENCE, entry.recv(&mut bytes)).await;
    let length = received.expect("sent").expect("received");
    let beacon = Beacon::decode(&bytes[..length]).expect("a beacon");
    let own = settings.hub_at(settings.address).to_string();
    assert_eq!(beacon.hubs, [own]);
}
