package resolver

import (
	"maps"

	"github.com/pelletier/go-toml/v2"
)

// teamsPerChunk is how many teams are decoded at once.
const teamsPerChunk = 64

// config decodes the document. It decodes teams in chunks: the decoder searches
// for each table among all its siblings, so decoding thousands of teams at once
// takes time quadratic in their number, in every process at every change.
func (doc Document) config() (Config, error) {
	rest, chunks := doc.chunks()
	var config Config
	if err := toml.Unmarshal([]byte(rest.text(false)), &config); err != nil {
		return Config{}, err
	}
	for _, chunk := range chunks {
		var decoded Config
		if err := toml.Unmarshal([]byte(chunk.text(false)), &decoded); err != nil {
			return Config{}, err
		}
		if config.Teams == nil {
			config.Teams = map[string]Team{}
		}
		maps.Copy(config.Teams, decoded.Teams)
	}
	return config, nil
}

// chunks splits the teams of the document into documents of up to teamsPerChunk
// teams, with all values of a team in one of them. The other values are in rest.
func (doc Document) chunks() (rest Document, chunks []Document) {
	rest = newDocument()
	chunkOf := map[string]int{}
	for _, value := range doc.values {
		if len(value.Path) < 2 || value.Path[0] != teamsKey {
			rest.set(value)
			continue
		}
		index, known := chunkOf[value.Path[1]]
		if !known {
			index = len(chunkOf) / teamsPerChunk
			chunkOf[value.Path[1]] = index
		}
		if index == len(chunks) {
			chunks = append(chunks, newDocument())
		}
		chunks[index].set(value)
	}
	return rest, chunks
}
