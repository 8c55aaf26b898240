Feature: Messages are plain data

  Scenario: every message type is a dataclass with slots
    Then no message type has an attribute dictionary

  Scenario: instances do not share the default of a list field
    Then two job summaries without tasks have separate lists
