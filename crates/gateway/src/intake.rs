//! Receives callers' requests: reads, routes and authenticates them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_fleet::{Organisation, Route, RouteTable};
use hollowbarrow_ingress::{
    ConnectionLimiter, HttpAnswer, HttpHandler, HttpLimits, ReadRequestError, RequestBody,
    UsedConnections, plain_answer,
};
use hollowbarrow_member::SuspensionDetector;
use hollowbarrow_routing::{RequestContent, RequestContents};
use hollowbarrow_schema::ServiceName;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::GatewayCore;
use crate::flight::InFlightGuard;
use crate::protocol::CallerHead;
use crate::refusal::{DEFAULT_TIME_LEFT, Refusal};
use crate::request::CallerRequest;
use crate::stream::run_stream;
use crate::whole::run_buffered;

/// Limits of connections before a configuration is active; its head size is also a lower bound on
/// the configured one.
const INITIAL_LIMITS: HttpLimits = HttpLimits {
    head_bytes: 32 << 10,
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Answers readiness checks.
pub(crate) struct ReadinessHandler(pub(crate) Arc<GatewayCore>);

impl HttpHandler for ReadinessHandler {
    fn limits(&self) -> HttpLimits {
        INITIAL_LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        let (head, _) = request.into_parts();
        if !self.0.protocol.is_readiness_check(&head) {
            return plain_answer(StatusCode::NOT_FOUND, "no such path");
        }
        if self.0.is_ready() {
            plain_answer(StatusCode::OK, "ready")
        } else {
            plain_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}

/// Answers callers' requests.
pub(crate) struct CallerHandler(pub(crate) Arc<GatewayCore>);

impl HttpHandler for CallerHandler {
    fn limits(&self) -> HttpLimits {
        self.0.routes().map_or(INITIAL_LIMITS, |routes| {
            let limits = routes.limits();
            let head_bytes = limits.header_bytes.max(INITIAL_LIMITS.head_bytes);
            HttpLimits { head_bytes, header: limits.header_timeout, idle: limits.idle_timeout }
        })
    }

    fn limiter(&self) -> Option<&Arc<ConnectionLimiter>> {
        Some(&self.0.connections)
    }

    fn used_connections(&self) -> Option<&UsedConnections> {
        Some(&self.0.used_connections)
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        let core = Arc::clone(&self.0);
        let _in_flight = InFlightGuard::new(&core);
        let mut answer = match read_request(&core, request).await {
            Ok(request) if request.route.kind.is_stream() => {
                run_stream(Arc::clone(&core), request).await
            }
            Ok(request) => run_buffered(Arc::clone(&core), request).await,
            Err((id, refusal)) => {
                core.metrics.count_request(refusal.name());
                log::warn!(
                    "event=request_refused request={id:?} status={} cause={}",
                    refusal.status().as_u16(),
                    refusal.name()
                );
                refusal.to_answer(DEFAULT_TIME_LEFT)
            }
        };
        // Callers that connect anew may be sent to a gateway that can serve them.
        if core.stopping.load(Ordering::Relaxed) || core.reach.is_cut_off() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// Reads a request. A refusal is returned with the request's identity, which is empty if the
/// request has none.
async fn read_request(
    core: &GatewayCore,
    request: Request<RequestBody>,
) -> Result<CallerRequest, (String, Refusal)> {
    let received = Instant::now();
    let (parts, body) = request.into_parts();
    let head = core.protocol.read_head(&parts).map_err(|_| (String::new(), Refusal::BadRequest))?;
    let id = head.id.clone();
    let routed = route_request(core, &head).map_err(|refusal| match refusal {
        Refusal::NoRoute | Refusal::BadKey => (id.clone(), refuse_unmatched(core, &id, refusal)),
        refusal => (id.clone(), refusal),
    })?;
    let limit = routed.table.limits().body_bytes;
    let body = read_body(body, limit, &routed).await.map_err(|refusal| (id, refusal))?;
    Ok(to_request(parts, head, routed, body, received, &core.suspension))
}

/// Returns the refusal for a request whose route or key is not in the active configuration.
fn refuse_unmatched(core: &GatewayCore, id: &str, refusal: Refusal) -> Refusal {
    let now = Instant::now();
    let facts = core.config_freshness(now);
    log::info!(
        "event=route_unknown request={id:?} cause={} version={} known={} view_ms={}",
        refusal.name(),
        facts.version,
        facts.known,
        facts.confirmation_age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
    );
    // Callers do not retry after a 404 or a 401, so these are sent only if the configuration is known
    // to be the newest.
    if core.may_be_behind(now) { Refusal::ConfigurationBehind } else { refusal }
}

struct RoutedRequest {
    table: Arc<RouteTable>,
    route: Arc<Route>,
    service: Arc<hollowbarrow_fleet::Service>,
    organisation: Option<Arc<Organisation>>,
}

fn route_request(core: &GatewayCore, head: &CallerHead) -> Result<RoutedRequest, Refusal> {
    let table = core.routes().ok_or(Refusal::NoDeployment)?;
    let route = table.find(&head.host, &head.path).ok_or(Refusal::NoRoute)?;
    let organisation = if table.needs_keys() && !route.public {
        let key = head.key.as_deref().ok_or(Refusal::BadKey)?;
        Some(Arc::clone(table.organisation(key).ok_or(Refusal::BadKey)?))
    } else {
        None
    };
    let name = choose_service(route, &head.id);
    let service = table.service(name).ok_or(Refusal::NoRoute)?;
    let (route, service) = (Arc::clone(route), Arc::clone(service));
    Ok(RoutedRequest { table, route, service, organisation })
}

/// Chooses the service of a request by the route's weights and the hash of the request's identity.
fn choose_service<'a>(route: &'a Route, id: &str) -> &'a ServiceName {
    let total: u64 = route.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut point = xxh3_64(id.as_bytes()) % total.max(1);
    for (service, weight) in &route.split {
        if point < u64::from(*weight) {
            return service;
        }
        point -= u64::from(*weight);
    }
    &route.split[0].0
}

async fn read_body(
    body: RequestBody,
    limit: usize,
    routed: &RoutedRequest,
) -> Result<Bytes, Refusal> {
    match tokio::time::timeout(routed.route.timeout, body.read_within(limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadRequestError::TooLong(_))) => Err(Refusal::TooLarge),
        Ok(Err(ReadRequestError::Overloaded(_))) => Err(Refusal::Overloaded),
        Ok(Err(ReadRequestError::Truncated(_))) | Err(_) => Err(Refusal::BodyTruncated),
    }
}

fn to_request(
    parts: Parts,
    head: CallerHead,
    routed: RoutedRequest,
    body: Bytes,
    received: Instant,
    suspension: &Arc<SuspensionDetector>,
) -> CallerRequest {
    let timeout = routed.route.timeout;
    let timeout_left = head.deadline.map_or(timeout, |deadline| deadline.min(timeout));
    let contents = read_contents(&parts, &head, &routed, &body);
    CallerRequest {
        head,
        method: parts.method,
        headers: parts.headers,
        body,
        route: routed.route,
        service: routed.service,
        organisation: routed.organisation,
        received,
        latest_end: received + timeout_left,
        suspended_before: suspension.suspended(received),
        suspension: Arc::clone(suspension),
        contents,
    }
}

fn read_contents(
    parts: &Parts,
    head: &CallerHead,
    routed: &RoutedRequest,
    body: &Bytes,
) -> RequestContents {
    let organisation = routed.organisation.as_ref();
    let organisation = organisation.map_or("", |organisation| organisation.name.as_str());
    let content = RequestContent {
        organisation,
        method: parts.method.as_str(),
        host: &head.host,
        target: &head.target,
        body,
    };
    let model = head.model.as_ref().map_or(&**routed.service.name, |model| model.as_str());
    let prompt_parts = head.prompt_parts.iter().map(|part| part.as_bytes());
    RequestContents::new(content.digest())
        .with_organisation(organisation)
        .with_parts(model, prompt_parts)
}
