package settings

// Exported for the external tests.
var LeafPaths = leafPaths
