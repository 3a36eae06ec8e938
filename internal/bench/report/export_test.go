package report

// Its figure that the tests use.
const PageFile = pageFile
