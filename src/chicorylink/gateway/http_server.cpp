#include "chicorylink/gateway/http_server.hpp"

#include "chicorylink/gateway/http_call.hpp"
#include "chicorylink/gateway/listen_socket.hpp"

#include <atomic>
#include <mutex>
#include <unistd.h>
#include <unordered_set>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <microhttpd.h>

namespace chicorylink::gateway {
namespace {

constexpr std::size_t stream_block_bytes = 32UL * 1024;
constexpr std::size_t connection_overhead_bytes = 16UL * 1024;

} // namespace

class http_server::implementation {
public:
    implementation(http_server_settings settings, http_server_handlers handlers, int descriptor)
        : m_settings(std::move(settings)), m_handlers(std::move(handlers)),
          m_descriptor(descriptor), m_port(port_of_socket(descriptor))
    {
    }

    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    [[nodiscard]] base::result<void> start_daemon();
    [[nodiscard]] base::result<void> replace_daemon(std::string certificate, std::string key);
    void quiesce();
    void find_closed_callers();

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::size_t open_requests() const;

private:
    static void* on_uri(void* self, const char* uri, MHD_Connection* connection);
    static MHD_Result on_access(void* self, MHD_Connection* connection, const char* url,
                                const char* method, const char* version, const char* data,
                                std::size_t* size, void** call);
    static void on_completed(void* self, MHD_Connection* connection, void** call,
                             MHD_RequestTerminationCode code);

    MHD_Result handle(http_call& call, const char* method, const char* data, std::size_t* size);
    MHD_Result check_head(http_call& call, const char* method);
    MHD_Result append_body(http_call& call, const char* data, std::size_t* size);
    MHD_Result send_response(http_call& call);
    MHD_Result stream_response(http_call& call);
    void suspend(http_call& call);
    void resume(http_call& call);
    void report_bad_input(const char* reason) const;

    http_server_settings m_settings;
    http_server_handlers m_handlers;
    int m_descriptor;
    std::uint16_t m_port;
    std::atomic<std::uint64_t> m_last_exchange{0};
    std::atomic<bool> m_stopping{false};
    mutable std::mutex m_mutex;
    std::unordered_set<http_call*> m_calls;
    MHD_Daemon* m_daemon = nullptr;
    std::vector<MHD_Daemon*> m_replaced_daemons;
};

http_server::implementation::~implementation()
{
    m_stopping = true;
    std::vector<std::shared_ptr<exchange>> open;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto* call : m_calls) {
            open.push_back(call->request);
        }
    }
    for (const auto& request : open) {
        request->abort();
    }
    for (auto* daemon : m_replaced_daemons) {
        MHD_stop_daemon(daemon);
    }
    if (m_daemon != nullptr) {
        MHD_stop_daemon(m_daemon);
    }
    else if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

base::result<void> http_server::implementation::start_daemon()
{
    std::vector<MHD_OptionItem> options{
        {MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(m_settings.idle_seconds), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(m_settings.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(m_settings.max_header_bytes + connection_overhead_bytes), nullptr},
        {MHD_OPTION_THREAD_POOL_SIZE, static_cast<intptr_t>(m_settings.threads), nullptr},
    };
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    if (!m_settings.certificate.empty()) {
        flags |= MHD_USE_TLS;
        options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, m_settings.certificate.data()});
        options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, m_settings.private_key.data()});
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});
    m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &implementation::on_access, this,
                                MHD_OPTION_LISTEN_SOCKET, m_descriptor, MHD_OPTION_URI_LOG_CALLBACK,
                                &implementation::on_uri, this, MHD_OPTION_NOTIFY_COMPLETED,
                                &implementation::on_completed, this, MHD_OPTION_ARRAY,
                                options.data(), MHD_OPTION_END);
    if (m_daemon == nullptr) {
        return base::fail(base::error_kind::invalid_setting,
                          fmt::format("the listener on '{}' does not start", m_settings.listen),
                          "check the certificate and the key, and the limit of open files");
    }
    return {};
}

base::result<void> http_server::implementation::replace_daemon(std::string certificate,
                                                               std::string key)
{
    auto* const old_daemon = m_daemon;
    const auto old_settings = m_settings;
    MHD_quiesce_daemon(old_daemon);
    m_settings.certificate = std::move(certificate);
    m_settings.private_key = std::move(key);
    m_replaced_daemons.push_back(old_daemon);
    const bool started = base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(start_daemon());
            return true;
        },
        [] { return false; });
    if (started) {
        return {};
    }
    m_settings.certificate = old_settings.certificate;
    m_settings.private_key = old_settings.private_key;
    BOOST_LEAF_CHECK(start_daemon());
    return base::fail(base::error_kind::invalid_setting,
                      "the new certificate or key of the callers' listener can't be used",
                      "correct the files and reload again; the old ones stay in use");
}

void http_server::implementation::quiesce()
{
    const int descriptor = MHD_quiesce_daemon(m_daemon);
    if (descriptor >= 0) {
        close(descriptor);
        m_descriptor = -1;
    }
}

std::size_t http_server::implementation::open_requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls.size();
}

void http_server::implementation::find_closed_callers()
{
    std::vector<std::shared_ptr<exchange>> closed;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto* call : m_calls) {
            if (!call->suspended) {
                continue;
            }
            const auto* info =
                MHD_get_connection_info(call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
            if (info != nullptr && is_closed_by_peer(info->connect_fd)) {
                closed.push_back(call->request);
            }
        }
    }
    for (const auto& request : closed) {
        request->abort();
    }
}

void* http_server::implementation::on_uri(void* self, const char* uri, MHD_Connection* connection)
{
    auto& server = *static_cast<implementation*>(self);
    auto call = std::make_unique<http_call>();
    call->request = std::make_shared<exchange>(++server.m_last_exchange);
    call->connection = connection;
    call->started = std::chrono::steady_clock::now();
    const std::string_view text(uri);
    const auto question_mark = text.find('?');
    auto& request = call->request->request();
    request.path = text.substr(0, question_mark);
    request.query = question_mark == std::string_view::npos ? "" : text.substr(question_mark + 1);
    const std::lock_guard lock(server.m_mutex);
    server.m_calls.insert(call.get());
    return call.release();
}

MHD_Result http_server::implementation::on_access(void* self, MHD_Connection* /*connection*/,
                                                  const char* /*url*/, const char* method,
                                                  const char* /*version*/, const char* data,
                                                  std::size_t* size, void** call)
{
    return static_cast<implementation*>(self)->handle(*static_cast<http_call*>(*call), method, data,
                                                      size);
}

void http_server::implementation::on_completed(void* self, MHD_Connection* /*connection*/,
                                               void** call, MHD_RequestTerminationCode code)
{
    auto& server = *static_cast<implementation*>(self);
    const std::unique_ptr<http_call> done(static_cast<http_call*>(*call));
    if (!done) {
        return;
    }
    *call = nullptr;
    {
        const std::lock_guard lock(server.m_mutex);
        server.m_calls.erase(done.get());
    }
    if (!done->head_checked) {
        server.report_bad_input("unreadable_request");
    }
    if (done->submitted && server.m_handlers.on_done) {
        server.m_handlers.on_done(done->request, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
}

MHD_Result http_server::implementation::handle(http_call& call, const char* method,
                                               const char* data, std::size_t* size)
{
    if (!call.head_checked) {
        return check_head(call, method);
    }
    if (*size > 0) {
        return append_body(call, data, size);
    }
    if (!call.submitted) {
        call.submitted = true;
        if (call.body_too_large) {
            report_bad_input("body_too_large");
            call.request->respond(too_large_response(m_settings.max_body_bytes));
        }
        else if (m_stopping) {
            return MHD_NO;
        }
        else {
            m_handlers.on_request(call.request);
        }
    }
    const bool suspended =
        call.request->suspend_for_head([&] { suspend(call); }, [this, &call] { resume(call); });
    return suspended ? MHD_YES : send_response(call);
}

MHD_Result http_server::implementation::check_head(http_call& call, const char* method)
{
    call.head_checked = true;
    read_head(call, method);
    const auto& request = call.request->request();
    if (has_ambiguous_length(request.headers)) {
        report_bad_input("ambiguous_length");
        return queue_response(call.connection, ambiguous_head_response());
    }
    if (m_handlers.on_head) {
        if (const auto refusal = m_handlers.on_head(request)) {
            return queue_response(call.connection, *refusal);
        }
    }
    if (content_length(request) > m_settings.max_body_bytes) {
        report_bad_input("body_too_large");
        return queue_response(call.connection, too_large_response(m_settings.max_body_bytes));
    }
    return MHD_YES;
}

MHD_Result http_server::implementation::append_body(http_call& call, const char* data,
                                                    std::size_t* size)
{
    const auto age = std::chrono::steady_clock::now() - call.started;
    if (age > std::chrono::seconds(m_settings.read_seconds)) {
        report_bad_input("slow_caller");
        return MHD_NO;
    }
    auto& body = call.request->request().body;
    call.body_too_large = call.body_too_large || body.size() + *size > m_settings.max_body_bytes;
    if (!call.body_too_large) {
        body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
}

MHD_Result http_server::implementation::send_response(http_call& call)
{
    if (const auto& complete = call.request->complete_response()) {
        return queue_response(call.connection, *complete);
    }
    if (call.request->status() == 0) {
        return MHD_NO;
    }
    return stream_response(call);
}

MHD_Result http_server::implementation::stream_response(http_call& call)
{
    struct reader {
        implementation* server;
        http_call* call;
    };
    auto* state = new reader{this, &call};
    MHD_Response* response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, stream_block_bytes,
        [](void* cls, std::uint64_t, char* out, std::size_t size) -> ssize_t {
            auto& self = *static_cast<reader*>(cls);
            std::size_t count = 0;
            const auto read_result = self.call->request->read(
                out, size, count, [&] { self.server->suspend(*self.call); },
                [server = self.server, call = self.call] { server->resume(*call); });
            switch (read_result) {
            case exchange::read_state::end:
                return MHD_CONTENT_READER_END_OF_STREAM;
            case exchange::read_state::aborted:
                return MHD_CONTENT_READER_END_WITH_ERROR;
            default:
                return static_cast<ssize_t>(count);
            }
        },
        state, [](void* cls) { delete static_cast<reader*>(cls); });
    for (const auto& [name, value] : call.request->headers()) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    const auto queued = MHD_queue_response(call.connection,
                                           static_cast<unsigned>(call.request->status()), response);
    MHD_destroy_response(response);
    return queued;
}

void http_server::implementation::suspend(http_call& call)
{
    const std::lock_guard lock(m_mutex);
    call.suspended = true;
    MHD_suspend_connection(call.connection);
}

void http_server::implementation::resume(http_call& call)
{
    const std::lock_guard lock(m_mutex);
    call.suspended = false;
    MHD_resume_connection(call.connection);
}

void http_server::implementation::report_bad_input(const char* reason) const
{
    if (m_handlers.on_bad_input) {
        m_handlers.on_bad_input(reason);
    }
}

base::result<std::unique_ptr<http_server>> http_server::start(http_server_settings settings,
                                                              http_server_handlers handlers)
{
    BOOST_LEAF_AUTO(descriptor, open_listen_socket(settings.listen));
    auto impl =
        std::make_unique<implementation>(std::move(settings), std::move(handlers), descriptor);
    BOOST_LEAF_CHECK(impl->start_daemon());
    return std::unique_ptr<http_server>(new http_server(std::move(impl)));
}

http_server::http_server(std::unique_ptr<implementation> impl) : m_implementation(std::move(impl))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return m_implementation->port();
}

std::size_t http_server::open_requests() const
{
    return m_implementation->open_requests();
}

void http_server::find_closed_callers()
{
    m_implementation->find_closed_callers();
}

base::result<void> http_server::reload_tls(std::string certificate, std::string private_key)
{
    return m_implementation->replace_daemon(std::move(certificate), std::move(private_key));
}

void http_server::stop_listening()
{
    m_implementation->quiesce();
}

} // namespace chicorylink::gateway
