Feature: Operators operate a site from the command line

  Scenario: each command prints its result and ends with its exit status
    Given a running site for operators
    Then the commands end with these statuses and outputs
      | command                                              | status | shows                      |
      | status                                               | 0      | scheduler                  |
      | status --json                                        | 0      | "revision": 1              |
      | zone list                                            | 0      | piassa                     |
      | template list                                        | 0      | stock-check                |
      | config show                                          | 0      | abay-reef                  |
      | config validate examples/abay-reef.toml              | 0      | no findings                |
      | config validate README.md                            | 2      | README.md                  |
      | config diff examples/abay-reef.toml                  | 0      | templates.tank-watch       |
      | zone out piassa                                      | 0      | in force everywhere        |
      | zone list                                            | 0      | out                        |
      | zone in piassa --json                                | 0      | "in_force_s"               |
      | zone out nowhere                                     | 1      | no zone nowhere            |
      | job submit j1 abay-reef tank-watch --tasks 3         | 0      | on record                  |
      | job submit j1 abay-reef tank-watch --tasks 3         | 0      | already on record          |
      | job submit j1 abay-reef tank-watch --tasks 4         | 3      | another job has this       |
      | job submit j2 abay-reef huge                         | 3      | holds Capacity             |
      | job submit j2 abay-reef nothing                      | 1      | no template nothing        |
      | job submit j2 abay-reef tank-watch --parameters [    | 2      | no JSON                    |
      | job show j1                                          | 0      | j1/2                       |
      | job show j9                                          | 1      | no job j9                  |
      | job list                                             | 0      | tank-watch                 |
      | job cancel j1                                        | 0      | j1/0                       |
      | job decide j1/0 --again                              | 1      | no lost task               |
      | report burn                                          | 0      | objective                  |
      | config apply examples/abay-reef.toml --wait          | 0      | is in force everywhere     |
      | check-settings entry examples/settings/entry.toml    | 0      | no findings                |
      | check-settings entry examples/settings/agent.toml    | 2      | unknown key                |
      | check-settings nothing examples/settings/agent.toml  | 2      | nothing is not one of      |
      | nonsense                                             | 2      | nonsense                   |

  Scenario: a command fails if no entry answers
    Then without a site "status" ends with 5 and shows "attempts to connect"
