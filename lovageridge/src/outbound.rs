//! Outgoing HTTP requests: sent directly to the address in the URL, never through a proxy.

use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;

/// Returns a builder of a GET request.
pub fn get(url: impl AsRef<str>) -> RequestBuilder {
    request(Method::GET, url)
}

/// Returns a builder of a POST request.
pub fn post(url: impl AsRef<str>) -> RequestBuilder {
    request(Method::POST, url)
}

/// Returns a builder of a request that uses no proxy and follows no redirects.
pub fn request(method: Method, url: impl AsRef<str>) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
}
