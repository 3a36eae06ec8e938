package report

// PageFile is exported for tests.
const PageFile = pageFile
