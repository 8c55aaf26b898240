Feature: Packages export names, not modules of the same name

  Scenario: every exported name is found after all modules are imported
    When all modules are imported
    Then no exported name of a package is a module

  Scenario: a name that a module would take the place of is rejected
    Then lazy exports of a name "load" from a module "load" are rejected
