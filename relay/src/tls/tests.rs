use super::*;

fn generated() -> (tempfile::TempDir, ServerTlsTable, ClientTlsTable) {
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
fn generated_files_are_accepted_and_errors_name_their_key() {
    let (folder, server_table, client_table) = generated();
    assert!(server_config(&server_table).is_ok() && client_config(&client_table).is_ok());
    let other_key = folder.path().join("client.key");
    let error = |table: ServerTlsTable| server_config(&table).err().unwrap_or_default();
    let missing = folder.path().join("none");
    assert!(error(ServerTlsTable { key: other_key, ..server_table.clone() }).contains("push.tls.key"));
    assert!(
        error(ServerTlsTable { certificate: missing.clone(), ..server_table.clone() })
            .contains("push.tls.certificate")
    );
    let no_certificate = Some(server_table.key.clone());
    assert!(error(ServerTlsTable { clients: no_certificate, ..server_table }).contains("push.tls.clients"));
    let error = |table: ClientTlsTable| client_config(&table).err().unwrap_or_default();
    assert!(error(ClientTlsTable { trust: missing, ..client_table.clone() }).contains("gateways.tls.trust"));
    assert!(error(ClientTlsTable { key: None, ..client_table }).contains("gateways.tls.key"));
}
