//! `amberlever tenant|config|token ...`: clients of the administration API.

use std::io::Write;
use std::process::ExitCode;

use serde_json::{json, Value};

use crate::cli::{Api, ConfigCommand, TenantCommand, TokenCommand};
use crate::{failed, read};

/// The environment variable with the token, used without --token-file.
const TOKEN_VARIABLE: &str = "AMBERLEVER_TOKEN";

struct Client<'a> {
    api: &'a Api,
    token: Option<String>,
    agent: ureq::Agent,
}

/// The status, ETag and body of a response. The body is null if it is not JSON.
type Response = (u16, Option<String>, Value);

pub fn tenant(api: &Api, command: &TenantCommand) -> ExitCode {
    exit_code(Client::new(api).and_then(|client| match command {
        TenantCommand::List => client.show("/v1/tenants"),
        TenantCommand::Get { name } => client.show(&format!("/v1/tenants/{name}")),
        TenantCommand::Put { name, file } => {
            client.change("PUT", &format!("/v1/tenants/{name}"), Some(read_document(file)?))
        }
        TenantCommand::Delete { name } => client.change("DELETE", &format!("/v1/tenants/{name}"), None),
        TenantCommand::Limits { name, limits } => {
            let path = format!("/v1/tenants/{name}/limits");
            client.change_from(&path, &format!("/v1/tenants/{name}"), |tenant| {
                let mut all = tenant.get("limits").cloned().unwrap_or(json!({}));
                for limit in limits {
                    let (key, value) = limit
                        .split_once('=')
                        .ok_or_else(|| format!("invalid limit {limit:?}: expected KEY=NUMBER or KEY=none"))?;
                    all[key] = match value {
                        "none" => Value::Null,
                        number => serde_json::from_str(number)
                            .map_err(|_| format!("invalid limit {limit:?}: {number:?} is not a number"))?,
                    };
                }
                Ok(all)
            })
        }
        TenantCommand::Status { name: Some(name) } => client.show(&format!("/v1/tenants/{name}/status")),
        TenantCommand::Status { name: None } => client.show("/v1/status"),
        TenantCommand::Node { name, pool, node, state } => {
            let path = format!("/v1/tenants/{name}/pools/{pool}/nodes/{node}/state");
            client.change_from(&path, &format!("/v1/tenants/{name}"), |_| Ok(json!({ "state": state })))
        }
    }))
}

pub fn config(api: &Api, command: &ConfigCommand) -> ExitCode {
    exit_code(Client::new(api).and_then(|client| match command {
        ConfigCommand::Get { tenant } => client.show(&format!("/v1/tenants/{tenant}/config")),
        ConfigCommand::Put { tenant, file } => {
            let new = read_document(file)?;
            let path = format!("/v1/tenants/{tenant}/config");
            client.change_from(&path, &path, |_| Ok(new))
        }
        ConfigCommand::Versions => client.show("/v1/versions"),
        ConfigCommand::Show { number } => client.show(&format!("/v1/versions/{number}")),
        ConfigCommand::Diff { before, after } => client.show(&format!("/v1/versions/{before}/diff/{after}")),
        ConfigCommand::Rollback { number, tenant: None } => {
            client.change("POST", &format!("/v1/versions/{number}/rollback"), None)
        }
        ConfigCommand::Rollback { number, tenant: Some(tenant) } => {
            let (_, etag, _) = client.get(&format!("/v1/tenants/{tenant}/config"))?;
            client.send("POST", &format!("/v1/tenants/{tenant}/rollback?to={number}&"), None, etag)
        }
    }))
}

pub fn token(api: &Api, command: &TokenCommand) -> ExitCode {
    exit_code(match command {
        TokenCommand::New => admin::auth::new_token().map(|token| {
            let hash = admin::auth::hex(&admin::auth::hash(&token));
            format!("token:  {token}\nsha256: {hash}\n")
        }),
        TokenCommand::List => Client::new(api).and_then(|c| c.show("/v1/tokens")),
        TokenCommand::Issue { name, role, tenant } => Client::new(api).and_then(|client| {
            let role = match (role.as_str(), tenant) {
                ("operator", None) => json!("operator"),
                ("administrator", Some(tenant)) => json!({ "administrator": tenant }),
                ("reader", tenant) => json!({ "reader": tenant }),
                _ => {
                    return Err(format!("invalid role {role:?}: expected `operator` without --tenant, `administrator` with --tenant, or `reader`"))
                }
            };
            client.send("POST", "/v1/tokens?", Some(json!({ "name": name, "role": role })), None)
        }),
        TokenCommand::Revoke { name } => Client::new(api)
            .and_then(|client| client.send("DELETE", &format!("/v1/tokens/{name}?"), None, None)),
    })
}

fn exit_code(result: Result<String, String>) -> ExitCode {
    match result {
        Ok(output) => {
            let _ = std::io::stdout().write_all(output.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => failed(&error, 1),
    }
}

/// Reads a document from a file: TOML if its name ends with `.toml`, else JSON.
fn read_document(path: &std::path::Path) -> Result<Value, String> {
    let text = read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    if path.extension().is_some_and(|e| e == "toml") {
        return config::toml_value(&text).map_err(|e| format!("{}: {e}", path.display()));
    }
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Percent-encodes a value for a query.
fn percent_encode(text: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    text.bytes()
        .map(|b| if is_unreserved(b) { (b as char).to_string() } else { format!("%{b:02X}") })
        .collect()
}

impl<'a> Client<'a> {
    fn new(api: &'a Api) -> Result<Client<'a>, String> {
        let token = match &api.token_file {
            Some(path) => Some(read(path).map_err(|e| format!("{}: {e}", path.display()))?.trim().to_owned()),
            None => std::env::var(TOKEN_VARIABLE).ok(),
        };
        let agent = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build().into();
        Ok(Client { api, token, agent })
    }

    fn request(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        etag: Option<String>,
    ) -> Result<Response, String> {
        let mut request =
            ureq::http::Request::builder().method(method).uri(format!("http://{}{path}", self.api.api));
        if let Some(token) = &self.token {
            request = request.header("Authorization", format!("Bearer {token}"));
        }
        if let Some(etag) = etag {
            request = request.header("If-Match", etag);
        }
        let body = body.map(ToString::to_string).unwrap_or_default();
        let request =
            request.header("Content-Type", "application/json").body(body).map_err(|e| e.to_string())?;
        let mut response = self.agent.run(request).map_err(|e| format!("{}: {e}", self.api.api))?;
        let etag = response.headers().get("ETag").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let text = response.body_mut().read_to_string().map_err(|e| e.to_string())?;
        Ok((response.status().as_u16(), etag, serde_json::from_str(&text).unwrap_or(Value::Null)))
    }

    fn get(&self, path: &str) -> Result<Response, String> {
        let (status, etag, body) = self.request("GET", path, None, None)?;
        if status != 200 {
            return Err(error_text(status, &body));
        }
        Ok((status, etag, body))
    }

    fn show(&self, path: &str) -> Result<String, String> {
        Ok(format!("{:#}\n", self.get(path)?.2))
    }

    /// Sends a change. The path ends with `?` or `&`, so that the parameters `why` and `dry_run` can follow.
    fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<Value>,
        etag: Option<String>,
    ) -> Result<String, String> {
        let why = percent_encode(&self.api.why);
        let path = format!("{path}why={why}&dry_run={}", self.api.dry_run);
        let (status, _, body) = self.request(method, &path, body.as_ref(), etag)?;
        match status {
            200 => Ok(format!("{body:#}\n")),
            204 => Ok("done\n".to_owned()),
            _ => Err(error_text(status, &body)),
        }
    }

    /// Changes the resource at a path, with its current ETag as `If-Match`, or creates it if there is none.
    fn change(&self, method: &str, path: &str, body: Option<Value>) -> Result<String, String> {
        let (_, etag, _) = self.request("GET", path, None, None)?;
        self.send(method, &format!("{path}?"), body, etag)
    }

    /// Reads the resource at `from` and puts the document that `make` derives from it to `path`, with the
    /// ETag that was read as `If-Match`.
    fn change_from(
        &self,
        path: &str,
        from: &str,
        make: impl FnOnce(&Value) -> Result<Value, String>,
    ) -> Result<String, String> {
        let (_, etag, current) = self.get(from)?;
        self.send("PUT", &format!("{path}?"), Some(make(&current)?), etag)
    }
}

fn error_text(status: u16, body: &Value) -> String {
    match body.get("error").and_then(Value::as_str) {
        Some(error) => format!("{status}: {error}"),
        None => format!("unexpected status {status} from the administration API"),
    }
}
