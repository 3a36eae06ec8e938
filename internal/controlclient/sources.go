package controlclient

import "rockwind.example/rockwind/internal/rockwindpb"

// ConfigurationSources returns the configuration service of each control machine,
// without retries. A follower polls them in turn, because a partitioned machine
// keeps answering with an old configuration.
func (c *Client) ConfigurationSources() []rockwindpb.ConfigurationService {
	sources := make([]rockwindpb.ConfigurationService, 0, len(c.machines))
	for _, machine := range c.machines {
		sources = append(sources, machine.configuration)
	}
	return sources
}
