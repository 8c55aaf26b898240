"""The dispatcher: takes workflows, and leads the site or helps who does."""
