// A small deployment for a script: addresses of its own, a store, and entries with the settings of
// deploy/entry.settings.

#ifndef REVIEW_STANDIN_2_DEPLOYMENT_H_
#define REVIEW_STANDIN_2_DEPLOYMENT_H_

#include "standin.h"

namespace standin {

// The template's lines with its placeholders filled in.
class deployment {
public:
    explicit deployment(std::string folder) : folder(std::move(folder))
    {
        // Each run has a loopback network of its own.
        std::srand(static_cast<unsigned>(getpid()) * 2654435761U ^
                   static_cast<unsigned>(time(nullptr)));
        this->network = "127." + std::to_string(20 + std::rand() % 200) + "." +
                        std::to_string(1 + std::rand() % 250) + ".";
        this->news_port = free_port(this->ip(1), SOCK_DGRAM);
        this->front_port = free_port(this->ip(1));
        do {
            this->ready_port = free_port(this->ip(1));
        } while (this->ready_port == this->front_port);
        this->platform = std::make_unique<store>(this->ip(250));
    }

    [[nodiscard]] std::string ip(int number) const
    {
        return this->network + std::to_string(number);
    }

    // Starts the entry on machine `number`; `changed` replaces settings of the template.
    std::unique_ptr<process> start_entry(int number,
                                         const std::map<std::string, std::string>& changed = {})
    {
        std::map<std::string, std::string> settings = {
            {"id", "front-" + std::to_string(number)},
            {"data_centre", "zone-a"},
            {"ip", this->ip(number)},
            {"news_port", std::to_string(this->news_port)},
            {"front_listen", this->ip(number) + ":" + std::to_string(this->front_port)},
            {"ready_listen", this->ip(number) + ":" + std::to_string(this->ready_port)},
            {"store", this->ip(250) + ":" + std::to_string(this->platform->port())},
            {"seeds", this->ip(1) + ":1"},
            {"file_descriptors", "4200"},
            {"memory_mb", "260"},
            {"retry_ratio", "0.2"},
            {"retry_slack", "88"},
            {"heartbeat_ms", "1200"},
            {"evacuation_ms", ""},
            {"grace_s", "8"},
            {"cold_overage", ""},
            {"cold_slack", ""}};
        for (const auto& [name, value] : changed) {
            settings[name] = value;
        }
        std::string text;
        for (const auto& [name, value] : settings) {
            text += "--" + name + "=" + value + "\n";
        }
        const std::string path = this->folder + "/entry-" + std::to_string(number);
        write_file(path + ".settings", text);
        return std::make_unique<process>("target/bin/sardine-platform-entry", path + ".settings",
                                         path + ".log");
    }

    std::string network;
    std::string folder;
    int news_port = 0;
    int front_port = 0;
    int ready_port = 0;
    std::unique_ptr<store> platform;
};

inline std::string server_entry(const std::string& service, const std::string& address, int slots,
                                const std::string& state, int sequence)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address +
           "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"" + state +
           "\",\"cold-remaining-ms\":0,\"born\":1700000000000,\"sequence\":" +
           std::to_string(sequence) + "}";
}

} // namespace standin

#endif // REVIEW_STANDIN_2_DEPLOYMENT_H_
