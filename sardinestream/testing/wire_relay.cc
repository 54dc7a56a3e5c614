#include <array>
#include <map>

#include "sardinestream/testing/relay.h"
#include "sardinestream/wire/wire_generated.h"

#include "absl/time/time.h"

namespace sardinestream::testing {
namespace {

constexpr absl::Duration write_timeout = absl::Seconds(60);

class wire_relay : public relay {
public:
    wire_relay(fault_proxy& owner, std::unique_ptr<wire::secure_socket> client_end,
               std::unique_ptr<wire::secure_socket> server_end, absl::Duration delay)
        : relay(owner), client(std::move(client_end)), server(std::move(server_end)),
          to_client(delay, writer_of(*this->client)), to_server(delay, writer_of(*this->server))
    {
    }

    void cut() override
    {
        {
            const absl::MutexLock lock(&this->mutex);
            this->ended = true;
        }
        this->client->shut_down();
        this->server->shut_down();
    }

    [[nodiscard]] bool is_link_from(absl::string_view client_id) const override
    {
        const absl::MutexLock lock(&this->mutex);
        return this->client_beats && this->server_beats && !this->ended &&
               this->hello_id == client_id;
    }

protected:
    void relay_to_server() override
    {
        this->relay_frames(*this->client, this->to_server, toward::server);
        this->to_server.drain();
    }

    void relay_to_client() override
    {
        this->relay_frames(*this->server, this->to_client, toward::client);
        this->to_client.drain();
    }

private:
    static delayed_writer::writer writer_of(wire::secure_socket& socket)
    {
        return
            [&socket](absl::string_view bytes) { return socket.write(bytes, write_timeout).ok(); };
    }

    void relay_frames(wire::secure_socket& from, delayed_writer& to, toward direction)
    {
        std::array<char, wire::header_bytes> head{};
        while (from.read(head.data(), head.size()).ok()) {
            const absl::StatusOr<wire::frame_header> header =
                wire::decode_header({head.data(), head.size()});
            if (!header.ok()) {
                return;
            }
            std::string payload(header->payload_bytes, '\0');
            if (!from.read(payload.data(), payload.size()).ok()) {
                return;
            }
            std::string bytes(head.data(), head.size());
            bytes += payload;
            const std::string opening = this->opening_of(*header, payload, direction);
            const std::string client_id = this->client_name();
            const message_info message{.kind = message_kind::frame,
                                       .direction = direction,
                                       .type = header->type,
                                       .opening = opening,
                                       .client = client_id};
            if (!this->pass(message, header->stream_id,
                            [&] { return to.write(std::move(bytes)); })) {
                return;
            }
        }
    }

    // Returns the payload of the first frame on the stream.
    std::string opening_of(const wire::frame_header& header, const std::string& payload,
                           toward direction)
    {
        const absl::MutexLock lock(&this->mutex);
        if (header.type == wire::frame_type::hello && direction == toward::server) {
            const absl::StatusOr<wire::helloT> hello = wire::decode<wire::hello>(payload);
            this->hello_id = hello.ok() ? hello->id : "";
        }
        if (header.type == wire::frame_type::heartbeat) {
            (direction == toward::server ? this->client_beats : this->server_beats) = true;
        }
        if (header.stream_id == 0) {
            return payload;
        }
        return this->openings.try_emplace(header.stream_id, payload).first->second;
    }

    std::string client_name()
    {
        const absl::MutexLock lock(&this->mutex);
        return this->hello_id;
    }

    const std::unique_ptr<wire::secure_socket> client;
    const std::unique_ptr<wire::secure_socket> server;
    delayed_writer to_client;
    delayed_writer to_server;
    mutable absl::Mutex mutex;
    // A heartbeat has passed from that end.
    bool client_beats ABSL_GUARDED_BY(mutex) = false;
    bool server_beats ABSL_GUARDED_BY(mutex) = false;
    bool ended ABSL_GUARDED_BY(mutex) = false;
    std::string hello_id ABSL_GUARDED_BY(mutex);
    std::map<std::uint64_t, std::string> openings ABSL_GUARDED_BY(mutex);
};

} // namespace

std::unique_ptr<relay> make_wire_relay(fault_proxy& owner,
                                       std::unique_ptr<wire::secure_socket> client,
                                       std::unique_ptr<wire::secure_socket> server,
                                       absl::Duration delay)
{
    return std::make_unique<wire_relay>(owner, std::move(client), std::move(server), delay);
}

} // namespace sardinestream::testing
