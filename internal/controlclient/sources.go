package controlclient

import "rockwind.example/rockwind/internal/rockwindpb"

// ConfigurationSources returns the configuration service of each control
// machine by itself, without retries. A follower asks them in turn, because a
// machine that is cut off goes on answering with an old configuration.
func (c *Client) ConfigurationSources() []rockwindpb.ConfigurationService {
	sources := make([]rockwindpb.ConfigurationService, 0, len(c.machines))
	for _, machine := range c.machines {
		sources = append(sources, machine.configuration)
	}
	return sources
}
