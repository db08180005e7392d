//! Outgoing HTTP requests: sent directly to the address in the URL, never through a proxy.

use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::PercentEncode;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

/// End of the range of HTTP status codes; the libraries accept three-digit codes from 100 to 999.
const STATUS_END: u16 = 600;

/// Characters that are escaped in a part of a URI: all but the unreserved ones.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Returns `text` as one segment of a path, or one value of a query.
pub fn escaped(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ESCAPED)
}

/// Returns whether requests with this path reach a server with it. The HTTP library resolves segments of dots, escaped
/// ones too, and takes a backslash for a slash.
pub fn keeps_path(path: &str) -> bool {
    let builder = RequestBuilder::try_new(Method::GET, format!("http://localhost{path}"));
    builder.is_ok_and(|mut builder| {
        let sent = builder.inspect().url().path().to_owned();
        percent_decode_str(&sent).eq(percent_decode_str(path))
    })
}

/// Returns whether a response has a status code that HTTP defines a class for. One without states nothing: it is
/// a broken response, and the request may have run.
pub fn is_valid_status(status_code: u16) -> bool {
    (100..STATUS_END).contains(&status_code)
}

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
