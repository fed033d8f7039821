use super::*;

fn made() -> (tempfile::TempDir, ServerTlsTable, ClientTlsTable) {
    let folder = tempfile::tempdir().expect("a folder");
    generate_certificates(folder.path(), &["gateway.test".into()]).expect("certificates");
    let at = |name: &str| folder.path().join(name);
    let server = ServerTlsTable {
        certificate: at("server.pem"),
        key: at("server.key"),
        clients: Some(at("authority.pem")),
        min_version: MinTlsVersion::Tls13,
    };
    let client = ClientTlsTable {
        trust: at("authority.pem"),
        certificate: Some(at("client.pem")),
        key: Some(at("client.key")),
        min_version: MinTlsVersion::Tls12,
    };
    (folder, server, client)
}

#[test]
fn what_was_made_is_read_and_faults_name_their_key() {
    let (folder, sound, client_sound) = made();
    assert!(server_config(&sound).is_ok() && client_config(&client_sound).is_ok());
    let other = folder.path().join("client.key");
    let wrong = |table: ServerTlsTable| server_config(&table).err().unwrap_or_default();
    let missing = folder.path().join("none");
    assert!(wrong(ServerTlsTable { key: other, ..sound.clone() }).contains("push.tls.key"));
    assert!(
        wrong(ServerTlsTable { certificate: missing.clone(), ..sound.clone() })
            .contains("push.tls.certificate")
    );
    let no_certificate = Some(sound.key.clone());
    assert!(wrong(ServerTlsTable { clients: no_certificate, ..sound }).contains("push.tls.clients"));
    let wrong = |table: ClientTlsTable| client_config(&table).err().unwrap_or_default();
    assert!(wrong(ClientTlsTable { trust: missing, ..client_sound.clone() }).contains("gateways.tls.trust"));
    assert!(wrong(ClientTlsTable { key: None, ..client_sound }).contains("gateways.tls.key"));
}
