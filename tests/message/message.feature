Feature: Messages are plain data

  Scenario: every message is a dataclass with slots and keyword arguments
    Then no message type has a dict of attributes

  Scenario: the default of a list is never shared
    Then two job summaries without tasks have lists of their own
