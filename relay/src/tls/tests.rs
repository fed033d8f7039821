use super::*;

fn made() -> (tempfile::TempDir, ServerTable, ClientTable) {
    let folder = tempfile::tempdir().expect("a folder");
    make(folder.path(), &["gateway.test".into()]).expect("certificates");
    let at = |name: &str| folder.path().join(name);
    let server = ServerTable {
        certificate: at("server.pem"),
        key: at("server.key"),
        clients: Some(at("authority.pem")),
        least: Least::Tls13,
    };
    let client = ClientTable {
        trust: at("authority.pem"),
        certificate: Some(at("client.pem")),
        key: Some(at("client.key")),
        least: Least::Tls12,
    };
    (folder, server, client)
}

#[test]
fn what_was_made_is_read_and_faults_name_their_key() {
    let (folder, sound, client_sound) = made();
    assert!(server(&sound).is_ok() && client(&client_sound).is_ok());
    let other = folder.path().join("client.key");
    let wrong = |table: ServerTable| server(&table).err().unwrap_or_default();
    let missing = folder.path().join("none");
    assert!(wrong(ServerTable { key: other, ..sound.clone() }).contains("push.tls.key"));
    assert!(
        wrong(ServerTable { certificate: missing.clone(), ..sound.clone() }).contains("push.tls.certificate")
    );
    let no_certificate = Some(sound.key.clone());
    assert!(wrong(ServerTable { clients: no_certificate, ..sound }).contains("push.tls.clients"));
    let wrong = |table: ClientTable| client(&table).err().unwrap_or_default();
    assert!(wrong(ClientTable { trust: missing, ..client_sound.clone() }).contains("gateways.tls.trust"));
    assert!(wrong(ClientTable { key: None, ..client_sound }).contains("gateways.tls.key"));
}
