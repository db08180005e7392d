//! Outgoing HTTP: requests that go straight to the address in their URL, never through a proxy.

use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;

/// Returns a GET request.
pub fn get(url: impl AsRef<str>) -> RequestBuilder {
    request(Method::GET, url)
}

/// Returns a POST request.
pub fn post(url: impl AsRef<str>) -> RequestBuilder {
    request(Method::POST, url)
}

/// Returns a request by any method.
pub fn request(method: Method, url: impl AsRef<str>) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
}
